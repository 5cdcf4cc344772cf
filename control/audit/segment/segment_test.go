package segment_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Guards against two writers of one log that append the same entry twice: an entry is appended
// only at its own index, and only if its revision is above the newest revision in the segment.
func TestAppendsInOrder(t *testing.T) {
	var value json.RawMessage
	for i, step := range []struct {
		index    int
		revision ident.ConfigRevision
		want     failure.Kind
	}{
		{1, 1, failure.Conflict}, // the preceding entry is missing
		{0, 1, ""},
		{0, 1, failure.Conflict}, // from a second writer
		{1, 1, failure.Conflict}, // the same revision again
		{1, 5, ""},
		{segment.MaxEntries + 2, 7, ""}, // the index refers to the whole log
	} {
		args := segment.AppendArgs{Index: step.index, Entry: proposal.AuditEntry{Revision: step.revision}}
		result := segment.Handlers().Apply(proposer.Context{}, value, proposer.Operation{Kind: segment.AppendKind, Args: operation.Encode(args)})
		must.Eq(t, step.want == "", result.Failure == nil, must.Sprint(i))
		if result.Failure != nil {
			must.Eq(t, step.want, result.Failure.Kind, must.Sprint(i))
			must.False(t, result.Changed, must.Sprint(i))
			continue
		}
		value = result.Value
	}
	must.Eq(t, `{"leaves":[{"epoch":1,"sha256":""},{"epoch":5,"sha256":""},{"epoch":7,"sha256":""}]}`, string(operation.State(value)))
}

// The lexical order of the segment keys is the order of the segments.
func TestKeysSort(t *testing.T) {
	last := ident.Key("")
	for index := 0; index < 20*segment.MaxEntries; index += segment.MaxEntries {
		key := segment.Key(index)
		must.Greater(t, last, key)
		must.Eq(t, key, segment.Key(index+segment.MaxEntries-1))
		last = key
	}
}
