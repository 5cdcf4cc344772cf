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

// A core is partitioned, in each direction, at various times after the start of its planned stop,
// while clients keep calling it. Every call must be answered before the stop ends, and a call that
// was answered as not executed must not take effect later. All times are virtual.
func TestPlannedStopAnswersAllPending(t *testing.T) {
	for direction := range partitionDirections {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond} {
			t.Run(direction+" "+delay.String(), func(t *testing.T) { stopWhilePartitioned(t, direction, delay) })
		}
	}
}

// stopWhilePartitioned begins a planned stop of a number's proposer and partitions the proposer
// after lead. It calls the proposer throughout.
func stopWhilePartitioned(t *testing.T, direction string, delay time.Duration) {
	const firstTicket, callInterval = uint64(2000), 20 * time.Millisecond
	cluster := newThreeCores(t)
	cluster.submit("a:1", 1, "number/next", "number/n")
	cluster.advance(200 * time.Millisecond)
	leaver := cluster.proposerOf("number/n")
	// The leaver's requests are lost, so an operation in progress cannot complete.
	cluster.drop = func(to ident.Addr, m message.Message) bool {
		return m.From == leaver && to != leaver && m.Request != nil
	}
	began, ticket := cluster.now, firstTicket
	cluster.apply(leaver, cluster.nodes[leaver].Leave(cluster.now, stopLimit))
	for left := false; !left && cluster.now.Since(began) < stopLimit; ticket++ {
		if cluster.now.Since(began) >= delay {
			cluster.partition(leaver, direction)
		}
		cluster.submitOperation(leaver, ticket, operationOf("number/n", "number/next", map[string]int{}), 4*time.Second)
		cluster.advance(callInterval)
		done, fx := cluster.nodes[leaver].ContinueLeave(cluster.now)
		cluster.apply(leaver, fx)
		left = done
	}
	executed, unknown := 1, 0 // the first call was executed before the stop
	for i := firstTicket; i < ticket; i++ {
		must.NotNil(
			t,
			cluster.ticketResult(i),
			must.Sprintf("call %d of %d was not answered before the process ended", i-firstTicket, ticket-firstTicket),
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
