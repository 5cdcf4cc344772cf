package joinqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

const start = monotime.Time(time.Second)

func request(n int) Request {
	return Request{Node: ident.Node(fmt.Sprint("node-", n)), Run: "run"}
}

// Joins that arrive while a batch is in progress wait for the next batch, which contains them all.
func TestOneBatchIsInFlightAtATime(t *testing.T) {
	q := &Queue{}
	must.Nil(t, q.Add(start, 1, request(1), start.Add(time.Second)))
	must.Len(t, 1, q.BeginBatch(start))
	for n := 2; n <= 20; n++ {
		must.Nil(t, q.Add(start, uint64(n), request(n), start.Add(time.Second)))
	}
	must.Len(t, 0, q.BeginBatch(start.Add(time.Millisecond)))
	must.Eq(t, [][]uint64{{1}}, q.EndBatch(start.Add(100*time.Millisecond), true))
	must.Len(t, 19, q.BeginBatch(start.Add(101*time.Millisecond)))
	must.Eq(t, 0, q.Len())
	must.Len(t, 19, q.EndBatch(start.Add(200*time.Millisecond), true))
	must.False(t, q.BatchInFlight())
}

// A repeated request for a join that waits or is in progress is attached to that join. A request of
// another run of the same node is a separate join and goes into another batch.
func TestRepeatedJoinIsTheSameJoin(t *testing.T) {
	q := &Queue{}
	deadline := start.Add(time.Second)
	otherAttempt := request(1)
	otherAttempt.Run = "run 2"
	must.Nil(t, q.Add(start, 1, request(1), deadline))
	must.Nil(t, q.Add(start, 2, request(1), deadline))
	must.Nil(t, q.Add(start, 3, otherAttempt, deadline))
	must.Eq(t, []Request{request(1)}, q.BeginBatch(start))
	must.Nil(t, q.Add(start, 4, request(1), deadline))
	must.Eq(t, [][]uint64{{1, 2, 4}}, q.EndBatch(start, true))
	must.Eq(t, []Request{otherAttempt}, q.BeginBatch(start))
	must.Eq(t, [][]uint64{{3}}, q.EndBatch(start, true))
}

// A full queue refuses joins immediately. The retry delays of joins refused together differ and
// grow with the length of the queue.
func TestFullQueueRefusesWithSpreadRetryAfter(t *testing.T) {
	q := &Queue{}
	emptyQueueRetry := q.RetryAfter(request(-1))
	for n := range MaxWaiting {
		must.Nil(t, q.Add(start, uint64(n), request(n), start.Add(time.Second)))
	}
	waits := map[float64]bool{}
	for n := range 100 {
		refusal := q.Add(start, uint64(MaxWaiting+n), request(MaxWaiting+n), start.Add(time.Second))
		must.NotNil(t, refusal)
		must.Eq(t, failure.Busy, refusal.Kind)
		must.Positive(t, refusal.RetryAfter)
		waits[refusal.RetryAfter] = true
	}
	must.Greater(t, 80, len(waits))
	must.Greater(t, emptyQueueRetry, q.RetryAfter(request(-1)))
	for range MaxWaiting / MaxBatch {
		must.Len(t, MaxBatch, q.BeginBatch(start))
		q.EndBatch(start, true)
	}
	must.Eq(t, 0, q.Len())
}

// Every ticket ends exactly once: by its deadline, by RefuseWaiting or by the end of its batch.
func TestEveryTicketEndsOnce(t *testing.T) {
	q := &Queue{}
	earlyDeadline, lateDeadline := start.Add(time.Second), start.Add(time.Minute)
	must.Nil(t, q.Add(start, 1, request(1), earlyDeadline))
	must.Nil(t, q.Add(start, 2, request(2), lateDeadline))
	q.BeginBatch(start)
	must.Nil(t, q.Add(start, 3, request(3), earlyDeadline))
	must.Nil(t, q.Add(start, 4, request(4), lateDeadline))
	must.Len(t, 0, q.Expire(earlyDeadline))
	outcomes := map[uint64]failure.Outcome{}
	for _, r := range q.Expire(earlyDeadline.Add(time.Millisecond)) {
		must.Positive(t, r.Failure.RetryAfter)
		outcomes[r.Ticket] = r.Failure.Outcome
	}
	must.Eq(t, map[uint64]failure.Outcome{1: failure.OutcomeUnknown, 3: failure.NotExecuted}, outcomes)
	must.Len(t, 0, q.RefuseWaiting(start-1, failure.Stopping, "the core is stopping"))
	refused := q.RefuseWaiting(start, failure.Stopping, "the core is stopping")
	must.Len(t, 1, refused)
	must.Eq(t, 4, refused[0].Ticket)
	must.Eq(t, [][]uint64{nil, {2}}, q.EndBatch(earlyDeadline, true))
	must.Len(t, 0, q.Expire(lateDeadline.Add(time.Hour)))
}
