package group_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/group"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// cell is a group under one proposer after another, as a term serves it.
type cell struct {
	value json.RawMessage
	kept  any
	book  operation.Table
}

func newCell(history time.Duration) *cell { return &cell{book: group.Handlers(history)} }

func (c *cell) do(now monotime.Time, kind string, a group.Args) (json.RawMessage, *failure.Error) {
	v := c.book.Apply(proposer.Context{Now: now, Decoded: c.kept}, c.value, proposer.Operation{Op: "op", Kind: kind, Args: operation.Encode(a)})
	if v.Changed {
		c.value, c.kept = v.Value, nil
	}
	if v.Decoded != nil {
		c.kept = v.Decoded
	}
	return v.Body, v.Failure
}

func (c *cell) put(now monotime.Time, name, val string, base ...ident.Revision) (ident.Revision, *failure.Error) {
	a := group.Args{Name: name, Value: operation.Encode(val)}
	if len(base) > 0 {
		a.If = &base[0]
	}
	body, d := c.do(now, "group/put", a)
	var p group.Put
	_ = json.Unmarshal(body, &p)
	return p.Revision, d
}

func (c *cell) since(now monotime.Time, after ident.Revision) (group.News, *failure.Error) {
	body, d := c.do(now, "group/since", group.Args{After: &after})
	var n group.News
	_ = json.Unmarshal(body, &n)
	return n, d
}

func (c *cell) read(now monotime.Time, name string) (group.Put, *failure.Error) {
	body, d := c.do(now, "group/read", group.Args{Name: name})
	var p group.Put
	_ = json.Unmarshal(body, &p)
	return p, d
}

func at(s float64) monotime.Time { return monotime.Time(s * float64(time.Second)) }

// Keys part at the first dot; what has none is a group of its own.
func TestKeysPartAtTheFirstDot(t *testing.T) {
	for key, want := range map[string][2]string{"g1.2d": {"g1.", "2d"}, "a.b.c": {"a.", "b.c"}, "plain": {"plain", ""}, "end.": {"end.", ""}} {
		g, n := group.Split(key)
		must.Eq(t, want, [2]string{g, n}, must.Sprint(key))
		must.Eq(t, key, g+n)
	}
}

// Puts of all cells share one count; a conflict names the cell's own revision, 0 when it
// has none; a repeat gets its first revision, fitting or not, also after a new proposer.
func TestOneCountAndRepeats(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		c := newCell(0)
		for i, x := range []struct {
			name, val string
			base      []ident.Revision
			rev       ident.Revision
			have      int // at a conflict
		}{
			{"a", "1", []ident.Revision{0}, 1, -1},
			{"b", "2", nil, 2, -1},
			{"a", "3", []ident.Revision{0}, 0, 1},
			{"c", "3", []ident.Revision{7}, 0, 0},
			{"a", "3", []ident.Revision{1}, 3, -1},
			{"a", "1", []ident.Revision{0}, 1, -1}, // a repeat of what was overtaken
			{"a", "3", []ident.Revision{1}, 3, -1}, // a repeat of what is current
			{"a", "1", nil, 1, -1},
			{"b", "1", nil, 4, -1}, // the same value of another cell is none
			{"a", "<&>", nil, 5, -1},
			{"a", "<&>", []ident.Revision{9}, 5, -1},
		} {
			if fresh {
				c.kept = nil
			}
			rev, d := c.put(at(2+float64(i)), x.name, x.val, x.base...)
			if x.have >= 0 {
				must.NotNil(t, d, must.Sprint(i))
				must.Eq(t, failure.Conflict, d.Kind, must.Sprint(i))
				must.Eq(t, uint64(x.have), *d.CurrentRevision, must.Sprint(i))
				continue
			}
			must.Nil(t, d, must.Sprint(i))
			must.Eq(t, x.rev, rev, must.Sprint(i))
		}
		p, d := c.read(at(20), "a")
		must.Nil(t, d)
		must.Eq(t, group.Put{Name: "a", Value: operation.Encode("<&>"), Revision: 5}, p)
		_, d = c.read(at(20), "z")
		must.Eq(t, failure.Missing, d.Kind)
	}
}

// Watches of every age, over many proposers: one that was given a revision less than the
// history ago is told every put since, in order; never a gap, however old it is; and the
// old ones are told that they are too old.
func TestWatchesOfEveryAge(t *testing.T) {
	const history = 20 * time.Second
	c := newCell(history)
	type given struct {
		at  monotime.Time
		rev ident.Revision
	}
	var all []given
	forgotten := 0
	for i := range 1200 {
		now := at(1 + float64(i)/10)
		if i%400 == 399 {
			c.kept = nil // a new proposer
		}
		rev, d := c.put(now, fmt.Sprint(i*7%30), fmt.Sprint("v", i))
		must.Nil(t, d)
		must.Eq(t, ident.Revision(i+1), rev)
		all = append(all, given{now, rev})
		for _, back := range []int{0, 1, 50 + i%150, 400, 900} {
			if back > i {
				continue
			}
			g := all[i-back]
			n, d := c.since(now, g.rev)
			if d != nil {
				must.Eq(t, failure.Forgotten, d.Kind)
				must.Greater(t, history, now.Since(g.at))
				forgotten++
				continue
			}
			must.Eq(t, rev, n.Revision)
			must.Len(t, back, n.Events)
			for j, e := range n.Events {
				must.Eq(t, g.rev+ident.Revision(j)+1, e.Revision)
			}
		}
	}
	must.Positive(t, forgotten)
	must.Less(t, 700*40, len(c.value), must.Sprint("the history is not forgotten"))
}

// What is complete is never told as forgotten: cells that are put once stay, however old.
func TestWhatIsCompleteIsTold(t *testing.T) {
	c := newCell(time.Second)
	for i := range 50 {
		_, d := c.put(at(1+float64(i)*60), fmt.Sprint(i), "v")
		must.Nil(t, d)
	}
	n, d := c.since(at(9000), 1)
	must.Nil(t, d)
	must.Len(t, 49, n.Events)
}

// When the history is full, writes are rejected rather than history forgotten, and go
// on once it is old.
func TestFullHistoryTurnsPutsAway(t *testing.T) {
	c := newCell(0)
	big := string(make([]byte, 1000))
	n := 0
	for ; n < 2000; n++ {
		if _, d := c.put(at(2), "a", fmt.Sprint(n, big)); d != nil {
			must.Eq(t, failure.Busy, d.Kind)
			must.Eq(t, failure.NotExecuted, d.Outcome)
			break
		}
	}
	must.Between(t, 10, n, 1999)
	news, d := c.since(at(3), 0)
	must.Nil(t, d)
	must.Len(t, n, news.Events)
	_, d = c.put(at(100), "a", big)
	must.Nil(t, d)
	_, d = c.since(at(100), 1)
	must.Eq(t, failure.Forgotten, d.Kind)
}

// The kept form changes nothing: the same operations with and without it store the same.
func TestKeptFormIsTheState(t *testing.T) {
	with, without := newCell(0), newCell(0)
	for i := range 300 {
		now := at(1 + float64(i)/50)
		a, d := with.put(now, fmt.Sprint(i%17), fmt.Sprint(i*i%41))
		without.kept = nil
		b, e := without.put(now, fmt.Sprint(i%17), fmt.Sprint(i*i%41))
		must.Nil(t, d)
		must.Nil(t, e)
		must.Eq(t, a, b)
	}
	must.Eq(t, string(with.value), string(without.value))
}

// Between two forgettings, which are rare, a put changes the end of what is stored alone.
func TestPutsChangeTheEnd(t *testing.T) {
	c := newCell(20 * time.Second)
	whole := 0
	for i := range 3000 {
		was := c.value
		_, d := c.put(at(1+float64(i)/10), fmt.Sprint(i*7%300), fmt.Sprintf("%016d", i))
		must.Nil(t, d)
		head := 0
		for head < min(len(was), len(c.value)) && was[head] == c.value[head] {
			head++
		}
		if len(c.value)-head > 100 {
			whole++
		}
	}
	must.Between(t, 1, whole, 40)
	must.Less(t, 800*40, len(c.value))
}

// What is over but not let go yet is no put that a repeat finds: a cell that goes back to
// a value it had long ago is put anew, once, and stays so under another proposer.
func TestOldValueIsPutAnew(t *testing.T) {
	c := newCell(time.Second)
	for i := range 20 {
		_, d := c.put(at(1), fmt.Sprint("other", i), "x")
		must.Nil(t, d)
	}
	_, d := c.put(at(2), "a", "1")
	must.Nil(t, d)
	_, d = c.put(at(3), "a", "2")
	must.Nil(t, d)
	rev, d := c.put(at(100), "a", "1")
	must.Nil(t, d)
	must.Eq(t, ident.Revision(23), rev)
	for range 2 {
		p, d := c.read(at(101), "a")
		must.Nil(t, d)
		must.Eq(t, group.Put{Name: "a", Value: operation.Encode("1"), Revision: 23}, p)
		rev, d = c.put(at(101), "a", "1")
		must.Nil(t, d)
		must.Eq(t, ident.Revision(23), rev)
		c.kept = nil
	}
	// The first is let go in the end, and the later one is still known.
	for i := range 40 {
		_, d := c.put(at(200+float64(i)), "b", fmt.Sprint(i))
		must.Nil(t, d)
	}
	_, d = c.since(at(240), 20)
	must.Eq(t, failure.Forgotten, d.Kind)
	rev, d = c.put(at(240), "a", "1")
	must.Nil(t, d)
	must.Eq(t, ident.Revision(23), rev)
}

// The layout of the earlier release, with the count in front, is read.
func TestEarlierLayoutIsRead(t *testing.T) {
	c := newCell(0)
	c.value = json.RawMessage(`{"state":{"n":7,"f":3,"l":[["a","x",2],["b",null,5],["a",{"k":[1]},7]]}}`)
	p, d := c.read(at(1), "a")
	must.Nil(t, d)
	must.Eq(t, group.Put{Name: "a", Value: json.RawMessage(`{"k":[1]}`), Revision: 7}, p)
	_, d = c.since(at(1), 2)
	must.Eq(t, failure.Forgotten, d.Kind)
	n, d := c.since(at(1), 3)
	must.Nil(t, d)
	must.Len(t, 2, n.Events)
	rev, d := c.put(at(2), "b", "y", 5)
	must.Nil(t, d)
	must.Eq(t, ident.Revision(8), rev)
	must.Eq(t, `{"state":{"f":3,"l":[["a","x",2],["b",null,5],["a",{"k":[1]},7],["b","y",8]],"n":8}}`, string(c.value))
}

// A put into a group of 300 cells with 400 past puts; bytes is what is stored.
func BenchmarkPut(b *testing.B) {
	c := newCell(40 * time.Second)
	now := at(1)
	n := 0
	put := func() {
		now = now.Add(100 * time.Millisecond)
		n++
		if _, d := c.put(now, fmt.Sprintf("%x", n*7919%300), fmt.Sprintf("%016x", n*0x9e3779b97f4a7c1)); d != nil {
			b.Fatal(d)
		}
	}
	for range 1000 {
		put()
	}
	b.ReportAllocs()
	for b.Loop() {
		put()
	}
	b.ReportMetric(float64(len(c.value)), "bytes")
}

// A put that was taken is told its own revision again for as long as the history lasts,
// however many puts came between and under each new proposer. Later it is another put: put
// anew without a base, turned away with one.
func TestResendAfterManyPuts(t *testing.T) {
	const puts, history = 1000, 25 * time.Second
	c := newCell(history)
	name := func(i int) string { return fmt.Sprint(i % 50) }
	val := func(i int) string { return fmt.Sprint("v", i) }
	base := func(i int) ident.Revision { return ident.Revision(max(0, i+1-50)) }
	for i := range puts {
		rev, d := c.put(at(1+float64(i)/50), name(i), val(i), base(i))
		must.Nil(t, d)
		must.Eq(t, ident.Revision(i+1), rev)
	}
	for i := range puts {
		if i%300 == 299 {
			c.kept = nil // a new proposer
		}
		rev, d := c.put(at(22), name(i), val(i), base(i))
		must.Nil(t, d, must.Sprint(i))
		must.Eq(t, ident.Revision(i+1), rev)
	}
	_, d := c.put(at(200), name(0), val(0), base(0))
	must.Eq(t, failure.Conflict, d.Kind)
	rev, d := c.put(at(200), name(0), val(0))
	must.Nil(t, d)
	must.Eq(t, ident.Revision(puts+1), rev)
}
