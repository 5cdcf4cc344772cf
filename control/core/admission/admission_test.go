package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const start = monotime.Time(time.Second)

func request(n int) Request {
	return Request{Node: ident.Node(fmt.Sprint("node-", n)), Run: "run"}
}

// Joins that come while a batch is out wait for the next one, which takes all of them.
func TestOneBatchIsOutAtATime(t *testing.T) {
	q := &Queue{}
	must.Nil(t, q.Add(start, 1, request(1), start.Add(time.Second)))
	must.Len(t, 1, q.Begin(start))
	for n := 2; n <= 20; n++ {
		must.Nil(t, q.Add(start, uint64(n), request(n), start.Add(time.Second)))
	}
	must.Len(t, 0, q.Begin(start.Add(time.Millisecond)))
	must.Eq(t, [][]uint64{{1}}, q.End(start.Add(100*time.Millisecond), true))
	must.Len(t, 19, q.Begin(start.Add(101*time.Millisecond)))
	must.Eq(t, 0, q.Len())
	must.Len(t, 19, q.End(start.Add(200*time.Millisecond), true))
	must.False(t, q.Out())
}

// A repeat of a join that waits or is under way is the same join; one of another run of the
// same node is not, and goes into a batch of its own.
func TestRepeatJoinsTheWaitingOne(t *testing.T) {
	q := &Queue{}
	until := start.Add(time.Second)
	again := request(1)
	again.Run = "run 2"
	must.Nil(t, q.Add(start, 1, request(1), until))
	must.Nil(t, q.Add(start, 2, request(1), until))
	must.Nil(t, q.Add(start, 3, again, until))
	must.Eq(t, []Request{request(1)}, q.Begin(start))
	must.Nil(t, q.Add(start, 4, request(1), until))
	must.Eq(t, [][]uint64{{1, 2, 4}}, q.End(start, true))
	must.Eq(t, []Request{again}, q.Begin(start))
	must.Eq(t, [][]uint64{{3}}, q.End(start, true))
}

// A full queue refuses at once, tells when to come back, and tells those refused together
// different times; the longer the queue, the later.
func TestFullQueueTellsWhenToComeBack(t *testing.T) {
	q := &Queue{}
	early := q.RetryAfter(request(-1))
	for n := range QueueMost {
		must.Nil(t, q.Add(start, uint64(n), request(n), start.Add(time.Second)))
	}
	waits := map[float64]bool{}
	for n := range 100 {
		d := q.Add(start, uint64(QueueMost+n), request(QueueMost+n), start.Add(time.Second))
		must.NotNil(t, d)
		must.Eq(t, failure.Busy, d.Kind)
		must.Positive(t, d.RetryAfter)
		waits[d.RetryAfter] = true
	}
	must.Greater(t, 80, len(waits))
	must.Greater(t, early, q.RetryAfter(request(-1)))
	for range QueueMost / BatchMost {
		must.Len(t, BatchMost, q.Begin(start))
		q.End(start, true)
	}
	must.Eq(t, 0, q.Len())
}

// Every ticket ends once: by its deadline, by a refusal of all or by the end of its batch.
func TestEveryTicketEndsOnce(t *testing.T) {
	q := &Queue{}
	soon, later := start.Add(time.Second), start.Add(time.Minute)
	must.Nil(t, q.Add(start, 1, request(1), soon))
	must.Nil(t, q.Add(start, 2, request(2), later))
	q.Begin(start)
	must.Nil(t, q.Add(start, 3, request(3), soon))
	must.Nil(t, q.Add(start, 4, request(4), later))
	must.Len(t, 0, q.Expire(soon))
	got := map[uint64]failure.Outcome{}
	for _, r := range q.Expire(soon.Add(time.Millisecond)) {
		must.Positive(t, r.Failure.RetryAfter)
		got[r.Ticket] = r.Failure.Outcome
	}
	must.Eq(t, map[uint64]failure.Outcome{1: failure.OutcomeUnknown, 3: failure.NotExecuted}, got)
	must.Len(t, 0, q.Refuse(start-1, failure.Stopping, "the core stops"))
	refused := q.Refuse(start, failure.Stopping, "the core stops")
	must.Len(t, 1, refused)
	must.Eq(t, 4, refused[0].Ticket)
	must.Eq(t, [][]uint64{nil, {2}}, q.End(soon, true))
	must.Len(t, 0, q.Expire(later.Add(time.Hour)))
}
