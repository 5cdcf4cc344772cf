package keyspace_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// fixture holds the stored value of a keyspace and the decoded form that the proposer retains.
type fixture struct {
	value    json.RawMessage
	decoded  any
	handlers operation.Table
}

func newFixture(history time.Duration) *fixture {
	return &fixture{handlers: keyspace.Handlers(history)}
}

func (f *fixture) apply(now monotime.Time, kind string, args keyspace.Args) (json.RawMessage, *failure.Error) {
	result := f.handlers.Apply(
		proposer.Context{Now: now, Decoded: f.decoded},
		f.value,
		proposer.Operation{Op: "op", Kind: kind, Args: operation.Encode(args)},
	)
	if result.Changed {
		f.value, f.decoded = result.Value, nil
	}
	if result.Decoded != nil {
		f.decoded = result.Decoded
	}
	return result.Body, result.Failure
}

func (f *fixture) put(now monotime.Time, name, value string, base ...ident.Revision) (ident.Revision, *failure.Error) {
	args := keyspace.Args{Name: name, Value: operation.Encode(value)}
	if len(base) > 0 {
		args.IfRevision = &base[0]
	}
	body, err := f.apply(now, "group/put", args)
	var stored keyspace.Put
	_ = json.Unmarshal(body, &stored)
	return stored.Revision, err
}

func (f *fixture) since(now monotime.Time, after ident.Revision) (keyspace.Changes, *failure.Error) {
	body, err := f.apply(now, "group/since", keyspace.Args{After: &after})
	var changes keyspace.Changes
	_ = json.Unmarshal(body, &changes)
	return changes, err
}

func (f *fixture) read(now monotime.Time, name string) (keyspace.Put, *failure.Error) {
	body, err := f.apply(now, "group/read", keyspace.Args{Name: name})
	var record keyspace.Put
	_ = json.Unmarshal(body, &record)
	return record, err
}

func seconds(s float64) monotime.Time { return monotime.Time(s * float64(time.Second)) }

// Keys are split at the first dot. A key without a dot is a keyspace of its own.
func TestKeysSplitAtTheFirstDot(t *testing.T) {
	for key, want := range map[string][2]string{"g1.2d": {"g1.", "2d"}, "a.b.c": {"a.", "b.c"}, "plain": {"plain", ""}, "end.": {"end.", ""}} {
		prefix, name := keyspace.SplitKey(key)
		must.Eq(t, want, [2]string{prefix, name}, must.Sprint(key))
		must.Eq(t, key, prefix+name)
	}
}

// Puts of all entries share one revision. A conflict returns the current revision of the entry, or 0
// if the entry does not exist. A repeat returns the revision of the first put, whatever revision the
// repeat requires, also under a new proposer.
func TestSharedRevisionAndRepeatedPuts(t *testing.T) {
	for _, newProposer := range []bool{false, true} {
		f := newFixture(0)
		for i, step := range []struct {
			name, value     string
			ifRevision      []ident.Revision
			revision        ident.Revision
			currentRevision int // of the entry at a conflict, or -1
		}{
			{"a", "1", []ident.Revision{0}, 1, -1},
			{"b", "2", nil, 2, -1},
			{"a", "3", []ident.Revision{0}, 0, 1},
			{"c", "3", []ident.Revision{7}, 0, 0},
			{"a", "3", []ident.Revision{1}, 3, -1},
			{"a", "1", []ident.Revision{0}, 1, -1}, // a repeat of a superseded put
			{"a", "3", []ident.Revision{1}, 3, -1}, // a repeat of the current put
			{"a", "1", nil, 1, -1},
			{"b", "1", nil, 4, -1}, // the same value of another entry is no repeat
			{"a", "<&>", nil, 5, -1},
			{"a", "<&>", []ident.Revision{9}, 5, -1},
		} {
			if newProposer {
				f.decoded = nil
			}
			revision, err := f.put(seconds(2+float64(i)), step.name, step.value, step.ifRevision...)
			if step.currentRevision >= 0 {
				must.NotNil(t, err, must.Sprint(i))
				must.Eq(t, failure.Conflict, err.Kind, must.Sprint(i))
				must.Eq(t, uint64(step.currentRevision), *err.CurrentRevision, must.Sprint(i))
				continue
			}
			must.Nil(t, err, must.Sprint(i))
			must.Eq(t, step.revision, revision, must.Sprint(i))
		}
		stored, err := f.read(seconds(20), "a")
		must.Nil(t, err)
		must.Eq(t, keyspace.Put{Name: "a", Value: operation.Encode("<&>"), Revision: 5}, stored)
		_, err = f.read(seconds(20), "z")
		must.Eq(t, failure.NotFound, err.Kind)
	}
}

// Watches of different ages, under several proposers: a watch that received its revision within the
// history receives every later put, in order. An older watch receives all later puts or Compacted,
// never a sequence of puts with a gap.
func TestWatchesOfEveryAge(t *testing.T) {
	const history = 20 * time.Second
	f := newFixture(history)
	type startedWatch struct {
		at       monotime.Time
		revision ident.Revision
	}
	var started []startedWatch
	compacted := 0
	for i := range 1200 {
		now := seconds(1 + float64(i)/10)
		if i%400 == 399 {
			f.decoded = nil // a new proposer
		}
		revision, err := f.put(now, fmt.Sprint(i*7%30), fmt.Sprint("v", i))
		must.Nil(t, err)
		must.Eq(t, ident.Revision(i+1), revision)
		started = append(started, startedWatch{now, revision})
		for _, back := range []int{0, 1, 50 + i%150, 400, 900} {
			if back > i {
				continue
			}
			start := started[i-back]
			changes, err := f.since(now, start.revision)
			if err != nil {
				must.Eq(t, failure.Compacted, err.Kind)
				must.Greater(t, history, now.Since(start.at))
				compacted++
				continue
			}
			must.Eq(t, revision, changes.Revision)
			must.Len(t, back, changes.Events)
			for j, event := range changes.Events {
				must.Eq(t, start.revision+ident.Revision(j)+1, event.Revision)
			}
		}
	}
	must.Positive(t, compacted)
	must.Less(t, 700*40, len(f.value), must.Sprint("the history is not compacted"))
}

// A history from which no put was dropped never returns Compacted: entries that were put once stay,
// however old they are.
func TestCompleteHistoryIsNeverCompacted(t *testing.T) {
	f := newFixture(time.Second)
	for i := range 50 {
		_, err := f.put(seconds(1+float64(i)*60), fmt.Sprint(i), "v")
		must.Nil(t, err)
	}
	changes, err := f.since(seconds(9000), 1)
	must.Nil(t, err)
	must.Len(t, 49, changes.Events)
}

// While the history is full, puts are rejected and unexpired history is kept. Puts are accepted
// again once the history has expired.
func TestFullHistoryRejectsPuts(t *testing.T) {
	f := newFixture(0)
	big := string(make([]byte, 1000))
	accepted := 0
	for ; accepted < 2000; accepted++ {
		if _, err := f.put(seconds(2), "a", fmt.Sprint(accepted, big)); err != nil {
			must.Eq(t, failure.Busy, err.Kind)
			must.Eq(t, failure.NotExecuted, err.Outcome)
			break
		}
	}
	must.Between(t, 10, accepted, 1999)
	changes, err := f.since(seconds(3), 0)
	must.Nil(t, err)
	must.Len(t, accepted, changes.Events)
	_, err = f.put(seconds(100), "a", big)
	must.Nil(t, err)
	_, err = f.since(seconds(100), 1)
	must.Eq(t, failure.Compacted, err.Kind)
}

// The same operations store the same bytes with and without the retained decoded form.
func TestDecodedFormEqualsTheStoredState(t *testing.T) {
	withDecoded, withoutDecoded := newFixture(0), newFixture(0)
	for i := range 300 {
		now := seconds(1 + float64(i)/50)
		revision, err := withDecoded.put(now, fmt.Sprint(i%17), fmt.Sprint(i*i%41))
		withoutDecoded.decoded = nil
		otherRevision, otherErr := withoutDecoded.put(now, fmt.Sprint(i%17), fmt.Sprint(i*i%41))
		must.Nil(t, err)
		must.Nil(t, otherErr)
		must.Eq(t, revision, otherRevision)
	}
	must.Eq(t, string(withDecoded.value), string(withoutDecoded.value))
}

// Between two compactions a put changes only the end of the stored bytes, and compactions are rare.
func TestPutsChangeOnlyTheEnd(t *testing.T) {
	f := newFixture(20 * time.Second)
	rewrites := 0
	for i := range 3000 {
		previous := f.value
		_, err := f.put(seconds(1+float64(i)/10), fmt.Sprint(i*7%300), fmt.Sprintf("%016d", i))
		must.Nil(t, err)
		commonPrefix := 0
		for commonPrefix < min(len(previous), len(f.value)) && previous[commonPrefix] == f.value[commonPrefix] {
			commonPrefix++
		}
		if len(f.value)-commonPrefix > 100 {
			rewrites++
		}
	}
	must.Between(t, 1, rewrites, 40)
	must.Less(t, 800*40, len(f.value))
}

// A put whose value equals an expired put that is not dropped yet is not taken for a repeat. An
// entry that returns to a value from before the history gets one new revision, also under another
// proposer.
func TestExpiredValueIsPutAgain(t *testing.T) {
	f := newFixture(time.Second)
	for i := range 20 {
		_, err := f.put(seconds(1), fmt.Sprint("other", i), "x")
		must.Nil(t, err)
	}
	_, err := f.put(seconds(2), "a", "1")
	must.Nil(t, err)
	_, err = f.put(seconds(3), "a", "2")
	must.Nil(t, err)
	revision, err := f.put(seconds(100), "a", "1")
	must.Nil(t, err)
	must.Eq(t, ident.Revision(23), revision)
	for range 2 {
		stored, err := f.read(seconds(101), "a")
		must.Nil(t, err)
		must.Eq(t, keyspace.Put{Name: "a", Value: operation.Encode("1"), Revision: 23}, stored)
		revision, err = f.put(seconds(101), "a", "1")
		must.Nil(t, err)
		must.Eq(t, ident.Revision(23), revision)
		f.decoded = nil
	}
	// Once the first put has been dropped, a repeat of the later put is still recognized.
	for i := range 40 {
		_, err := f.put(seconds(200+float64(i)), "b", fmt.Sprint(i))
		must.Nil(t, err)
	}
	_, err = f.since(seconds(240), 20)
	must.Eq(t, failure.Compacted, err.Kind)
	revision, err = f.put(seconds(240), "a", "1")
	must.Nil(t, err)
	must.Eq(t, ident.Revision(23), revision)
}

// The stored layout of an earlier release, in which the revision comes first, can be read.
func TestEarlierLayoutIsRead(t *testing.T) {
	f := newFixture(0)
	f.value = json.RawMessage(`{"state":{"n":7,"f":3,"l":[["a","x",2],["b",null,5],["a",{"k":[1]},7]]}}`)
	stored, err := f.read(seconds(1), "a")
	must.Nil(t, err)
	must.Eq(t, keyspace.Put{Name: "a", Value: json.RawMessage(`{"k":[1]}`), Revision: 7}, stored)
	_, err = f.since(seconds(1), 2)
	must.Eq(t, failure.Compacted, err.Kind)
	changes, err := f.since(seconds(1), 3)
	must.Nil(t, err)
	must.Len(t, 2, changes.Events)
	revision, err := f.put(seconds(2), "b", "y", 5)
	must.Nil(t, err)
	must.Eq(t, ident.Revision(8), revision)
	must.Eq(t, `{"state":{"f":3,"l":[["a","x",2],["b",null,5],["a",{"k":[1]},7],["b","y",8]],"n":8}}`, string(f.value))
}

// BenchmarkPut measures a put into a keyspace of 300 entries with 400 superseded puts. The metric
// bytes is the stored size.
func BenchmarkPut(b *testing.B) {
	f := newFixture(40 * time.Second)
	now := seconds(1)
	count := 0
	put := func() {
		now = now.Add(100 * time.Millisecond)
		count++
		if _, err := f.put(now, fmt.Sprintf("%x", count*7919%300), fmt.Sprintf("%016x", count*0x9e3779b97f4a7c1)); err != nil {
			b.Fatal(err)
		}
	}
	for range 1000 {
		put()
	}
	b.ReportAllocs()
	for b.Loop() {
		put()
	}
	b.ReportMetric(float64(len(f.value)), "bytes")
}

// A repeat of an accepted put returns the revision of the first put as long as the put is in the
// history, whatever puts came between, also under new proposers. After that, the repeat is a new
// put: accepted without a required revision, rejected with a required revision.
func TestRepeatedPutAfterManyPuts(t *testing.T) {
	const puts, history = 1000, 25 * time.Second
	f := newFixture(history)
	name := func(i int) string { return fmt.Sprint(i % 50) }
	val := func(i int) string { return fmt.Sprint("v", i) }
	base := func(i int) ident.Revision { return ident.Revision(max(0, i+1-50)) }
	for i := range puts {
		revision, err := f.put(seconds(1+float64(i)/50), name(i), val(i), base(i))
		must.Nil(t, err)
		must.Eq(t, ident.Revision(i+1), revision)
	}
	for i := range puts {
		if i%300 == 299 {
			f.decoded = nil // a new proposer
		}
		revision, err := f.put(seconds(22), name(i), val(i), base(i))
		must.Nil(t, err, must.Sprint(i))
		must.Eq(t, ident.Revision(i+1), revision)
	}
	_, err := f.put(seconds(200), name(0), val(0), base(0))
	must.Eq(t, failure.Conflict, err.Kind)
	revision, err := f.put(seconds(200), name(0), val(0))
	must.Nil(t, err)
	must.Eq(t, ident.Revision(puts+1), revision)
}
