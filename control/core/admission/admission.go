// Package admission queues the joins of sidecars at one core and takes them into batches,
// so that many that come together cost a few rounds of quorum and not some for each.
package admission

import (
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	// BatchMost bounds the joins of one batch.
	BatchMost = 128
	// QueueMost bounds the joins that wait at one core.
	QueueMost = 512
	// retryLeast and retryMost bound what a refused sidecar is told to wait.
	retryLeast = 100 * time.Millisecond
	retryMost  = 5 * time.Second
	// spanFirst is how long a batch is taken to last before one has ended.
	spanFirst = 250 * time.Millisecond
)

// Request is a sidecar's wish to join. Run marks this attempt of one run of the sidecar: a
// repeat under the same mark is the same join.
type Request struct {
	Node  ident.Node
	Run   string
	Total int // of further tries, as in share.Args
}

// Refusal ends one waiting join.
type Refusal struct {
	Ticket  uint64
	Failure *failure.Error
}

// waiter is one caller that waits for a join, at most until its deadline.
type waiter struct {
	ticket uint64
	until  monotime.Time
}

type join struct {
	Request
	came    monotime.Time
	waiters []waiter
}

// Queue is the step function. Invariants: at most one batch is out; a node is at most once
// in a batch; every ticket that was added ends once, by Refuse, Expire or End.
type Queue struct {
	waiting []*join
	out     []*join
	began   monotime.Time
	span    time.Duration // of the last batch
}

// Len is how many joins wait for a batch.
func (q *Queue) Len() int { return len(q.waiting) }

// Out tells whether a batch is out.
func (q *Queue) Out() bool { return len(q.out) > 0 }

// Add queues a join until a deadline, or tells why it is refused.
func (q *Queue) Add(now monotime.Time, ticket uint64, r Request, until monotime.Time) *failure.Error {
	w := waiter{ticket, until}
	if j := q.find(r); j != nil {
		j.waiters = append(j.waiters, w)
		return nil
	}
	if len(q.waiting) >= QueueMost {
		return q.busy(r, "%d joins wait here", len(q.waiting))
	}
	q.waiting = append(q.waiting, &join{Request: r, came: now, waiters: []waiter{w}})
	return nil
}

// find looks for the same join, waiting or under way.
func (q *Queue) find(r Request) *join {
	if r.Run == "" {
		return nil
	}
	for _, list := range [][]*join{q.waiting, q.out} {
		for _, j := range list {
			if j.Node == r.Node && j.Run == r.Run {
				return j
			}
		}
	}
	return nil
}

// Begin takes the next batch out; it has none while one is out.
func (q *Queue) Begin(now monotime.Time) []Request {
	if len(q.out) > 0 {
		return nil
	}
	var batch []Request
	taken := map[ident.Node]bool{}
	var rest []*join
	for _, j := range q.waiting {
		if len(batch) == BatchMost || taken[j.Node] {
			rest = append(rest, j)
			continue
		}
		taken[j.Node] = true
		q.out, batch = append(q.out, j), append(batch, j.Request)
	}
	q.waiting, q.began = rest, now
	return batch
}

// End ends the batch that is out; one that went well shows how long a batch takes. It gives
// the tickets that wait for each of its joins, in the order of the batch.
func (q *Queue) End(now monotime.Time, well bool) [][]uint64 {
	out := make([][]uint64, len(q.out))
	for i, j := range q.out {
		for _, w := range j.waiters {
			out[i] = append(out[i], w.ticket)
		}
	}
	q.out = nil
	if well {
		q.span = now.Since(q.began)
	}
	return out
}

// Expire refuses the joins whose deadline is over. One whose batch is out may yet be
// granted.
func (q *Queue) Expire(now monotime.Time) []Refusal {
	var all []Refusal
	for _, j := range q.waiting {
		all = append(all, q.expire(now, j, q.busy(j.Request, "its time was over before its batch began"))...)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(j *join) bool { return len(j.waiters) == 0 })
	for _, j := range q.out {
		late := failure.Unsure(failure.UnknownOutcome, "the batch did not end in time")
		late.RetryAfter = q.busy(j.Request, "").RetryAfter
		all = append(all, q.expire(now, j, late)...)
	}
	return all
}

// expire takes the waiters out whose time is over.
func (q *Queue) expire(now monotime.Time, j *join, d *failure.Error) (all []Refusal) {
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool {
		if !now.After(w.until) {
			return false
		}
		all = append(all, Refusal{w.ticket, d})
		return true
	})
	return all
}

// Refuse refuses those that wait, are in no batch and came no later than a moment.
func (q *Queue) Refuse(came monotime.Time, kind failure.Kind, why string) []Refusal {
	var all []Refusal
	q.waiting = slices.DeleteFunc(q.waiting, func(j *join) bool {
		if j.came.After(came) {
			return false
		}
		d := failure.New(kind, "%s", why).Later(q.RetryAfter(j.Request).Seconds())
		for _, w := range j.waiters {
			all = append(all, Refusal{w.ticket, d})
		}
		return true
	})
	return all
}

func (q *Queue) busy(r Request, form string, args ...any) *failure.Error {
	return failure.New(failure.Busy, form, args...).Later(q.RetryAfter(r).Seconds())
}

// RetryAfter is when a refused join may come back: once the batches before it have ended,
// and by its own hash up to as long again, so that those refused together do not come back
// together.
func (q *Queue) RetryAfter(r Request) time.Duration {
	span := q.span
	if span == 0 {
		span = spanFirst
	}
	batches := 1 + len(q.waiting)/BatchMost
	wait := min(max(time.Duration(batches)*span, retryLeast), retryMost)
	return wait + time.Duration(float64(wait)*fraction(r))
}

// fraction is a number from 0 to 1 that is a join's own.
func fraction(r Request) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Node))
	_, _ = h.Write([]byte(r.Run))
	return float64(h.Sum32()%1024) / 1024
}
