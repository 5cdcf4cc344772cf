package keyvalue_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/watch"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// fixture holds the stored value of a key and the context of the current proposer.
type fixture struct {
	value      json.RawMessage
	revision   ident.Revision
	termBegan  monotime.Time
	termMemory map[string]monotime.Time
}

func (f *fixture) apply(now monotime.Time, kind string, args keyvalue.Args) (keyvalue.Response, *failure.Error) {
	context := proposer.Context{
		Now:             now,
		TermStartedAt:   f.termBegan,
		Revision:        f.revision,
		TermEventTimes:  f.termMemory,
		RecordTermEvent: func(event string) { f.termMemory[event] = now },
	}
	result := keyvalue.Handlers().Apply(context, f.value, proposer.Operation{Kind: kind, Args: operation.Encode(args)})
	if result.Changed {
		f.value = result.Value
		f.revision++
	}
	var response keyvalue.Response
	_ = json.Unmarshal(result.Body, &response)
	return response, result.Failure
}

func seconds(s float64) monotime.Time { return monotime.Time(s * float64(time.Second)) }

// A watcher that returns within a minute receives every change, also across changes of the
// proposer. A watcher that returns later gets Compacted, never a sequence of changes with a gap.
func TestHistoryOutlivesProposers(t *testing.T) {
	f := &fixture{termBegan: seconds(1), termMemory: map[string]monotime.Time{}}
	cursor := watch.Cursor{"k": 0}
	for i := range 300 {
		now := 1 + float64(i)
		if i%70 == 69 { // a new proposer with an empty TermMemory
			f.termBegan, f.termMemory = seconds(now), map[string]monotime.Time{}
		}
		_, err := f.apply(seconds(now), "key/write", keyvalue.Args{Value: json.RawMessage(fmt.Sprint(i))})
		must.Nil(t, err)
		if i%50 == 49 {
			since := cursor["k"]
			response, err := f.apply(seconds(now), "key/read", keyvalue.Args{Since: &since})
			must.Nil(t, err)
			events, err := cursor.Advance("k", response)
			must.Nil(t, err)
			must.Eq(t, 50, len(events))
		}
	}
	oldCursor := watch.Cursor{"k": 3}
	since := ident.Revision(3)
	response, err := f.apply(seconds(400), "key/read", keyvalue.Args{Since: &since})
	must.Nil(t, err)
	must.True(t, response.Truncated)
	_, err = oldCursor.Advance("k", response)
	must.NotNil(t, err)
	must.Eq(t, failure.Compacted, err.Kind)
}

// When changes arrive faster than they expire, writes are rejected; unexpired history is kept.
func TestFullHistoryRejectsWrites(t *testing.T) {
	f := &fixture{termBegan: seconds(1), termMemory: map[string]monotime.Time{}}
	big, _ := json.Marshal(string(make([]byte, 5000)))
	accepted := 0
	for ; accepted < 1000; accepted++ {
		if _, err := f.apply(seconds(2), "key/write", keyvalue.Args{Value: big}); err != nil {
			must.Eq(t, failure.Busy, err.Kind)
			must.Positive(t, err.RetryAfter)
			break
		}
	}
	must.Between(t, 10, accepted, 999)
	since := ident.Revision(0)
	response, _ := f.apply(seconds(3), "key/read", keyvalue.Args{Since: &since})
	must.Eq(t, accepted, len(response.Changes))
	_, err := f.apply(seconds(70), "key/write", keyvalue.Args{Value: big})
	must.Nil(t, err)
}

// Revisions continue after a delete; ifRevision 0 means that the key must not exist.
func TestRevisionsContinueAfterADelete(t *testing.T) {
	f := &fixture{termBegan: seconds(1), termMemory: map[string]monotime.Time{}}
	none, three := ident.Revision(0), ident.Revision(3)
	value := json.RawMessage(`1`)
	for i, step := range []struct {
		kind         string
		args         keyvalue.Args
		wantKind     failure.Kind
		wantRevision ident.Revision
	}{
		{"key/delete", keyvalue.Args{}, failure.NotFound, 0},
		{"key/write", keyvalue.Args{Value: value, IfRevision: &none}, "", 1},
		{"key/write", keyvalue.Args{Value: value, IfRevision: &none}, failure.Conflict, 0},
		{"key/delete", keyvalue.Args{}, "", 2},
		{"key/write", keyvalue.Args{Value: value, IfRevision: &three}, failure.Conflict, 0},
		{"key/write", keyvalue.Args{Value: value, IfRevision: &none}, "", 3},
		{"key/delete", keyvalue.Args{IfRevision: &three}, "", 4},
		{"key/write", keyvalue.Args{}, failure.Invalid, 0},
	} {
		response, err := f.apply(seconds(2), step.kind, step.args)
		if step.wantKind != "" {
			must.NotNil(t, err, must.Sprint(i))
			must.Eq(t, step.wantKind, err.Kind, must.Sprint(i))
			continue
		}
		must.Nil(t, err, must.Sprint(i))
		must.Eq(t, step.wantRevision, response.Revision, must.Sprint(i))
	}
}
