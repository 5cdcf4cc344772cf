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
	// MinHistory is the minimum time for which a change stays in the history.
	MinHistory        = 60 * time.Second
	maxHistoryEntries = 4096
	maxHistoryBytes   = 1 << 20
	// changeOverhead is the size in bytes that a change counts for in addition to its value.
	changeOverhead = 40
	// historyFullRetrySeconds is the retry delay, in seconds, returned when a write finds the
	// history full.
	historyFullRetrySeconds = 10
)

// Change is one change of a key.
type Change struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// State is the state of a key. Invariants:
//   - History is ordered by revision without gaps and ends with the current change.
//   - A change is dropped from the history only when a proposer has known of the next change for
//     longer than MinHistory within the proposer's own term. While the history is full of changes
//     that may not be dropped, writes are rejected.
//   - A deleted key keeps its state, so its revisions never restart.
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

// since returns the changes after a revision. truncated reports whether the history no longer holds
// some of the changes.
func (s State) since(revision ident.Revision) (changes []Change, truncated bool) {
	for _, change := range s.History {
		if change.Revision > revision {
			changes = append(changes, change)
		}
	}
	return changes, len(s.History) > 0 && s.History[0].Revision > revision+1
}

// checkRevision returns Conflict if the key does not have the required revision.
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

// appendChange appends a change to the history with the next revision, after dropping expired
// changes.
func (s State) appendChange(context proposer.Context, required *ident.Revision, change Change) operation.Result {
	if err := s.checkRevision(required); err != nil {
		return operation.Rejected(err)
	}
	change.Revision = context.Revision + 1
	s.dropExpired(context)
	if len(s.History) >= maxHistoryEntries || s.historyBytes()+len(change.Value) > maxHistoryBytes {
		return operation.Rejected(failure.New(failure.Busy, "the key changes too fast: its history is full").WithRetryAfter(historyFullRetrySeconds))
	}
	s.History = append(s.History, change)
	context.RecordTermEvent(firstSeenKey(change.Revision))
	response := Response{Revision: change.Revision, Value: change.Value, Deleted: change.Deleted}
	return operation.Result{State: operation.Encode(s), Body: operation.Encode(response)}
}

// dropExpired drops the changes whose successor has been known in this term for longer than
// MinHistory. A change from before the term counts as first seen when the term began.
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

// firstSeenKey returns the TermMemory key of the time at which this term first saw a revision.
func firstSeenKey(revision ident.Revision) string { return fmt.Sprintf("r%d", revision) }
