package key_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/key"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/watch"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

type cell struct {
	value  json.RawMessage
	rev    ident.Revision
	since  monotime.Time
	memory map[string]monotime.Time
}

func (c *cell) do(now monotime.Time, kind string, a key.Args) (key.Reading, *failure.Error) {
	v := key.Handlers().Apply(proposer.Context{Now: now, TermBegan: c.since, Revision: c.rev, TermMemory: c.memory, Remember: func(m string) { c.memory[m] = now }}, c.value, proposer.Operation{Kind: kind, Args: operation.Encode(a)})
	if v.Changed {
		c.value = v.Value
		c.rev++
	}
	var r key.Reading
	_ = json.Unmarshal(v.Body, &r)
	return r, v.Failure
}

func at(s float64) monotime.Time { return monotime.Time(s * float64(time.Second)) }

// A watcher that comes back within a minute is told every change, also when proposers
// changed meanwhile; later it is told that its place is forgotten, never a gap.
func TestHistoryOutlivesOwners(t *testing.T) {
	c := &cell{since: at(1), memory: map[string]monotime.Time{}}
	place := watch.Place{"k": 0}
	for i := range 300 {
		now := 1 + float64(i)
		if i%70 == 69 { // a new proposer, which knows no times
			c.since, c.memory = at(now), map[string]monotime.Time{}
		}
		_, d := c.do(at(now), "key/write", key.Args{Value: json.RawMessage(fmt.Sprint(i))})
		must.Nil(t, d)
		if i%50 == 49 {
			since := place["k"]
			r, d := c.do(at(now), "key/read", key.Args{Since: &since})
			must.Nil(t, d)
			events, d := place.Tell("k", r)
			must.Nil(t, d)
			must.Eq(t, 50, len(events))
		}
	}
	old := watch.Place{"k": 3}
	since := ident.Revision(3)
	r, d := c.do(at(400), "key/read", key.Args{Since: &since})
	must.Nil(t, d)
	must.True(t, r.Cut)
	_, d = old.Tell("k", r)
	must.NotNil(t, d)
	must.Eq(t, failure.Forgotten, d.Kind)
}

// When changes come faster than they may be forgotten, writes are rejected; the
// history is not.
func TestFullHistoryTurnsWritesAway(t *testing.T) {
	c := &cell{since: at(1), memory: map[string]monotime.Time{}}
	big, _ := json.Marshal(string(make([]byte, 5000)))
	n := 0
	for ; n < 1000; n++ {
		if _, d := c.do(at(2), "key/write", key.Args{Value: big}); d != nil {
			must.Eq(t, failure.Busy, d.Kind)
			must.Positive(t, d.RetryAfter)
			break
		}
	}
	must.Between(t, 10, n, 999)
	since := ident.Revision(0)
	r, _ := c.do(at(3), "key/read", key.Args{Since: &since})
	must.Eq(t, n, len(r.Changes))
	_, d := c.do(at(70), "key/write", key.Args{Value: big})
	must.Nil(t, d)
}

// Revisions go on over a delete; ifRevision 0 means that the key must not exist.
func TestRevisionsGoOnOverADelete(t *testing.T) {
	c := &cell{since: at(1), memory: map[string]monotime.Time{}}
	none, three := ident.Revision(0), ident.Revision(3)
	v := json.RawMessage(`1`)
	for i, x := range []struct {
		kind string
		a    key.Args
		bad  failure.Kind
		rev  ident.Revision
	}{
		{"key/delete", key.Args{}, failure.Missing, 0},
		{"key/write", key.Args{Value: v, If: &none}, "", 1},
		{"key/write", key.Args{Value: v, If: &none}, failure.Conflict, 0},
		{"key/delete", key.Args{}, "", 2},
		{"key/write", key.Args{Value: v, If: &three}, failure.Conflict, 0},
		{"key/write", key.Args{Value: v, If: &none}, "", 3},
		{"key/delete", key.Args{If: &three}, "", 4},
		{"key/write", key.Args{}, failure.Invalid, 0},
	} {
		r, d := c.do(at(2), x.kind, x.a)
		if x.bad != "" {
			must.NotNil(t, d, must.Sprint(i))
			must.Eq(t, x.bad, d.Kind, must.Sprint(i))
			continue
		}
		must.Nil(t, d, must.Sprint(i))
		must.Eq(t, x.rev, r.Revision, must.Sprint(i))
	}
}
