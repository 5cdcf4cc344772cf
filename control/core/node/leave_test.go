package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/message"
)

// A core is cut off, in each direction, at a few times after the start of its planned stop, while
// calls go on. Each call has its answer before the stop ends, and none that was answered as not
// executed takes effect later. The times are virtual.
func TestPlannedStopAnswersAllPending(t *testing.T) {
	for direction := range cuts {
		for _, lead := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond} {
			t.Run(direction+" "+lead.String(), func(t *testing.T) { stopWhileCutOff(t, direction, lead) })
		}
	}
}

// stopWhileCutOff cuts off the proposer of a number, lead after its planned stop began, and calls it
// all the while.
func stopWhileCutOff(t *testing.T, direction string, lead time.Duration) {
	const firstTicket, callEvery = uint64(2000), 20 * time.Millisecond
	cluster := newThreeCores(t)
	cluster.submit("a:1", 1, "number/next", "number/n")
	cluster.advance(200 * time.Millisecond)
	leaver := cluster.proposerOf("number/n")
	// An operation is in progress that can't end by itself, as its requests are lost.
	cluster.drop = func(to ident.Addr, m message.Message) bool {
		return m.From == leaver && to != leaver && m.Request != nil
	}
	began, ticket := cluster.now, firstTicket
	cluster.apply(leaver, cluster.nodes[leaver].Leave(cluster.now, stopWithin))
	for left := false; !left && cluster.now.Since(began) < stopWithin; ticket++ {
		if cluster.now.Since(began) >= lead {
			cluster.cut(leaver, direction)
		}
		cluster.submitOperation(leaver, ticket, operationOf("number/n", "number/next", map[string]int{}), 4*time.Second)
		cluster.advance(callEvery)
		done, fx := cluster.nodes[leaver].ContinueLeave(cluster.now)
		cluster.apply(leaver, fx)
		left = done
	}
	executed, unknown := 1, 0 // the first call was before the stop
	for i := firstTicket; i < ticket; i++ {
		must.NotNil(
			t,
			cluster.ticketResult(i),
			must.Sprintf("call %d of %d has no answer when the process ends", i-firstTicket, ticket-firstTicket),
		)
		switch f := cluster.ticketResult(i).Failure; {
		case f == nil:
			executed++
		case f.Outcome == failure.NotExecuted:
			must.Eq(t, 503, f.Status())
		default:
			unknown++
		}
	}
	cluster.down[leaver], cluster.drop = true, nil
	cluster.advance(5 * time.Second)
	reader := coreAddrs[0]
	if reader == leaver {
		reader = coreAddrs[1]
	}
	cluster.submit(reader, 9999, "number/read", "number/n")
	cluster.advance(time.Second)
	must.NotNil(t, cluster.ticketResult(9999))
	var got struct {
		Number int `json:"number"`
	}
	must.NoError(t, json.Unmarshal(cluster.ticketResult(9999).Body, &got))
	must.Between(t, executed, got.Number, executed+unknown)
}
