package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// A core is cut off, in each way, at each of a few times around the start of its planned stop,
// while calls go on to come to it. Each of them has its answer before the stop is over, and one
// that is told "not run" never acts later. The times are virtual.
func TestPlannedStopAnswersAllInHand(t *testing.T) {
	for way := range cuts {
		for _, lead := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond} {
			t.Run(way+" "+lead.String(), func(t *testing.T) { stopWhileCutOff(t, way, lead) })
		}
	}
}

// stopWhileCutOff cuts the core that owns a number's key off so long after its stop began, and
// calls the number at that core all the while.
func stopWhileCutOff(t *testing.T, way string, lead time.Duration) {
	const firstTicket, callEvery = uint64(2000), 20 * time.Millisecond
	x := newTrio(t)
	x.submit("a:1", 1, "number/next", "number/n")
	x.run(200 * time.Millisecond)
	leaver := x.ownerOf("number/n")
	// Something is in hand that can't end by itself: its messages to the others are lost.
	x.lost = func(to ident.Addr, m message.Message) bool {
		return m.From == leaver && to != leaver && m.Request != nil
	}
	began, ticket := x.now, firstTicket
	x.out(leaver, x.nodes[leaver].Leave(x.now, stopWithin))
	for left := false; !left && x.now.Since(began) < stopWithin; ticket++ {
		if x.now.Since(began) >= lead {
			x.cut(leaver, way)
		}
		x.out(leaver, x.nodes[leaver].Submit(x.now, ticket, operationOf("number/n", "number/next", map[string]int{}), 4*time.Second))
		x.run(callEvery)
		done, fx := x.nodes[leaver].Left(x.now)
		x.out(leaver, fx)
		left = done
	}
	executed, unknown := 1, 0 // the first call came before the stop
	for i := firstTicket; i < ticket; i++ {
		must.NotNil(t, x.end(i), must.Sprintf("call %d of %d has no answer when the process ends", i-firstTicket, ticket-firstTicket))
		switch f := x.end(i).Failure; {
		case f == nil:
			executed++
		case f.Outcome == failure.NotExecuted:
			must.Eq(t, 503, f.Status())
		default:
			unknown++
		}
	}
	x.dead[leaver], x.lost = true, nil
	x.run(5 * time.Second)
	reader := three[0]
	if reader == leaver {
		reader = three[1]
	}
	x.submit(reader, 9999, "number/read", "number/n")
	x.run(time.Second)
	must.NotNil(t, x.end(9999))
	var got struct {
		Number int `json:"number"`
	}
	must.NoError(t, json.Unmarshal(x.end(9999).Body, &got))
	must.Between(t, executed, got.Number, executed+unknown)
}
