// Package joinqueue queues the joins of sidecars at one core and groups them into batches, so that
// many simultaneous joins need a few quorum rounds in total rather than a few rounds each.
package joinqueue

import (
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

const (
	// MaxBatch is the maximum number of joins in one batch.
	MaxBatch = 128
	// MaxWaiting is the maximum number of joins that wait at one core.
	MaxWaiting = 512
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused join, without jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// initialBatchDuration is the estimated duration of a batch until the first batch has
	// succeeded.
	initialBatchDuration = 250 * time.Millisecond
)

// Request is a sidecar's request to join. Run identifies one attempt of one run of the sidecar to
// join: a repeated request with the same Run belongs to the same join.
type Request struct {
	Node ident.Node
	Run  string
	// RetryTotal is the retry budget of the whole mesh according to the sidecar's settings; see
	// quota.Args.Total.
	RetryTotal int
}

// Refusal reports to one caller, identified by its ticket, that its join failed.
type Refusal struct {
	Ticket  uint64
	Failure *failure.Error
}

// waiter is a caller that waits for a join, at most until its deadline.
type waiter struct {
	ticket   uint64
	deadline monotime.Time
}

// join is one queued join with all callers that wait for it.
type join struct {
	Request
	queuedAt monotime.Time
	waiters  []waiter
}

// Queue holds the joins at one core. Its zero value is an empty queue. Invariants: at most one batch
// is in progress; a batch contains at most one join of each node; every ticket that was added ends
// exactly once, by RefuseWaiting, Expire or EndBatch.
type Queue struct {
	waiting           []*join
	batch             []*join
	batchStarted      monotime.Time
	lastBatchDuration time.Duration // duration of the last successful batch, 0 before the first
}

// Len returns the number of joins that wait for a batch.
func (q *Queue) Len() int { return len(q.waiting) }

// BatchInFlight reports whether a batch is in progress.
func (q *Queue) BatchInFlight() bool { return len(q.batch) > 0 }

// Add queues a join until a deadline, or returns the failure with which the join is refused. A
// repeated request is attached to the join that is already queued or in progress.
func (q *Queue) Add(now monotime.Time, ticket uint64, r Request, deadline monotime.Time) *failure.Error {
	w := waiter{ticket, deadline}
	if j := q.find(r); j != nil {
		j.waiters = append(j.waiters, w)
		return nil
	}
	if len(q.waiting) >= MaxWaiting {
		return q.busyError(r, "the join queue of this core is full: %d joins wait", len(q.waiting))
	}
	q.waiting = append(q.waiting, &join{Request: r, queuedAt: now, waiters: []waiter{w}})
	return nil
}

// find returns the waiting or in-progress join of the same node and run, else nil.
func (q *Queue) find(r Request) *join {
	if r.Run == "" {
		return nil
	}
	for _, list := range [][]*join{q.waiting, q.batch} {
		for _, j := range list {
			if j.Node == r.Node && j.Run == r.Run {
				return j
			}
		}
	}
	return nil
}

// BeginBatch begins the next batch and returns its requests. It returns none while a batch is in
// progress.
func (q *Queue) BeginBatch(now monotime.Time) []Request {
	if len(q.batch) > 0 {
		return nil
	}
	var batch []Request
	nodes := map[ident.Node]bool{}
	var remaining []*join
	for _, j := range q.waiting {
		if len(batch) == MaxBatch || nodes[j.Node] {
			remaining = append(remaining, j)
			continue
		}
		nodes[j.Node] = true
		q.batch, batch = append(q.batch, j), append(batch, j.Request)
	}
	q.waiting, q.batchStarted = remaining, now
	return batch
}

// EndBatch ends the batch in progress and returns the tickets that wait for each of its joins, in
// the order of the batch. The duration of a successful batch is the estimate for the next one.
func (q *Queue) EndBatch(now monotime.Time, succeeded bool) [][]uint64 {
	tickets := make([][]uint64, len(q.batch))
	for i, j := range q.batch {
		for _, w := range j.waiters {
			tickets[i] = append(tickets[i], w.ticket)
		}
	}
	q.batch = nil
	if succeeded {
		q.lastBatchDuration = now.Since(q.batchStarted)
	}
	return tickets
}

// Expire ends the tickets whose deadline has passed and returns their refusals. The outcome of a
// join whose batch is in progress is unknown.
func (q *Queue) Expire(now monotime.Time) []Refusal {
	var refusals []Refusal
	for _, j := range q.waiting {
		refusals = append(refusals, q.expireWaiters(now, j, q.busyError(j.Request, "the join's deadline passed before its batch began"))...)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(j *join) bool { return len(j.waiters) == 0 })
	for _, j := range q.batch {
		timedOut := failure.NewUnknown(failure.UnknownOutcome, "the batch of the join did not end before the join's deadline")
		timedOut.RetryAfter = q.busyError(j.Request, "").RetryAfter
		refusals = append(refusals, q.expireWaiters(now, j, timedOut)...)
	}
	return refusals
}

// expireWaiters removes the waiters of a join whose deadline has passed, and returns the refusal
// for each of them.
func (q *Queue) expireWaiters(now monotime.Time, j *join, refusal *failure.Error) (refusals []Refusal) {
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool {
		if !now.After(w.deadline) {
			return false
		}
		refusals = append(refusals, Refusal{w.ticket, refusal})
		return true
	})
	return refusals
}

// RefuseWaiting refuses the joins that are not in a batch and were queued at queuedBy or earlier.
func (q *Queue) RefuseWaiting(queuedBy monotime.Time, kind failure.Kind, reason string) []Refusal {
	var refusals []Refusal
	q.waiting = slices.DeleteFunc(q.waiting, func(j *join) bool {
		if j.queuedAt.After(queuedBy) {
			return false
		}
		refusal := failure.New(kind, "%s", reason).WithRetryAfter(q.RetryAfter(j.Request).Seconds())
		for _, w := range j.waiters {
			refusals = append(refusals, Refusal{w.ticket, refusal})
		}
		return true
	})
	return refusals
}

// busyError returns a Busy failure with the retry delay of a join.
func (q *Queue) busyError(r Request, format string, args ...any) *failure.Error {
	return failure.New(failure.Busy, format, args...).WithRetryAfter(q.RetryAfter(r).Seconds())
}

// RetryAfter returns the delay after which a refused join should be retried: the estimated time
// until the batches ahead of the join have ended, extended by a jitter up to twice as long, so that
// joins refused together are not retried together.
func (q *Queue) RetryAfter(r Request) time.Duration {
	batchDuration := q.lastBatchDuration
	if batchDuration == 0 {
		batchDuration = initialBatchDuration
	}
	batches := 1 + len(q.waiting)/MaxBatch
	wait := min(max(time.Duration(batches)*batchDuration, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(float64(wait)*jitter(r))
}

// jitter returns a number in [0, 1) that depends only on the node and run of the join.
func jitter(r Request) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(r.Node))
	_, _ = hash.Write([]byte(r.Run))
	return float64(hash.Sum32()%1024) / 1024
}
