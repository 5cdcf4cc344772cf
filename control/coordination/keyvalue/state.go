package keyvalue

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// MinHistory is how long a change stays in the history at least.
	MinHistory        = 60 * time.Second
	maxHistoryEntries = 4096
	maxHistoryBytes   = 1 << 20
	// changeOverhead is how many bytes a change counts for in addition to its value.
	changeOverhead = 40
	// fullRetrySeconds is when to retry a write that found the history full.
	fullRetrySeconds = 10
)

// Change is one change of a key.
type Change struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// State is the state of a key. Invariants: History is in order of revision without gaps and
// ends with the current change; a change leaves the history only when a proposer has seen its
// successor, within its own term, for longer than MinHistory; while the history is full of
// younger changes, writes are rejected. A deleted key keeps its state, so its revisions never
// start again.
type State struct {
	History []Change `json:"past"`
}

// Latest returns the newest change; a key that was never written counts as deleted.
func (s State) Latest() Change {
	if len(s.History) == 0 {
		return Change{Deleted: true}
	}
	return s.History[len(s.History)-1]
}

// since returns the changes after a revision, and whether older ones than the history holds
// are missing.
func (s State) since(revision ident.Revision) (changes []Change, truncated bool) {
	for _, change := range s.History {
		if change.Revision > revision {
			changes = append(changes, change)
		}
	}
	return changes, len(s.History) > 0 && s.History[0].Revision > revision+1
}

// checkRevision returns Conflict if the key is not at the revision that a write requires.
func (s State) checkRevision(required *ident.Revision) *failure.Error {
	if required == nil {
		return nil
	}
	latest := s.Latest()
	revision := latest.Revision
	if latest.Deleted {
		revision = 0
	}
	if revision != *required {
		return failure.New(failure.Conflict, "the key is at revision %d", revision)
	}
	return nil
}

// appendChange makes a change the newest one and drops expired ones from the history.
func (s State) appendChange(context proposer.Context, required *ident.Revision, change Change) operation.Result {
	if err := s.checkRevision(required); err != nil {
		return operation.Rejected(err)
	}
	change.Revision = context.Revision + 1
	s.dropExpired(context)
	if len(s.History) >= maxHistoryEntries || s.historyBytes()+len(change.Value) > maxHistoryBytes {
		return operation.Rejected(failure.New(failure.Busy, "the key changes too fast: its history is full").WithRetryAfter(fullRetrySeconds))
	}
	s.History = append(s.History, change)
	context.RecordTermEvent(firstSeenKey(change.Revision))
	response := Response{Revision: change.Revision, Value: change.Value, Deleted: change.Deleted}
	return operation.Result{State: operation.Encode(s), Body: operation.Encode(response)}
}

// dropExpired drops the changes whose successor this term has seen for longer than
// MinHistory. A change from before the term counts as seen when the term began.
func (s *State) dropExpired(context proposer.Context) {
	for len(s.History) > 1 {
		successorSeen, ok := context.TermEventTimes[firstSeenKey(s.History[1].Revision)]
		if !ok {
			successorSeen = context.TermStartedAt
		}
		if context.Now.Since(successorSeen) <= MinHistory {
			return
		}
		delete(context.TermEventTimes, firstSeenKey(s.History[0].Revision))
		s.History = s.History[1:]
	}
}

func (s State) historyBytes() int {
	total := 0
	for _, change := range s.History {
		total += len(change.Value) + changeOverhead
	}
	return total
}

// firstSeenKey is the name under which a term remembers when it first saw a revision.
func firstSeenKey(revision ident.Revision) string { return fmt.Sprintf("r%d", revision) }
