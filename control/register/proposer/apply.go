package proposer

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// apply applies up to maxBatch waiting operations and begins the round that commits their results:
// an accept round if the value changed, else a confirming round.
func (p *Proposer) apply(now monotime.Time, t *term, effects *Effects) {
	count := min(len(t.waiting), maxBatch)
	revision, value := p.applyBatch(now, t, t.waiting[:count], effects)
	t.waiting = slices.Clone(t.waiting[count:])
	if len(t.batch) == 0 {
		p.proceed(now, t, effects)
		return
	}
	if revision == t.revision {
		t.stage = confirming
		p.beginRound(now, t, quorum.Request{Kind: quorum.Confirm, Ballot: t.ballot, Revision: t.revision}, effects)
		return
	}
	t.stage, t.proposed = writing, quorum.Record{Revision: revision, Value: value}
	base := quorum.Record{Accepted: t.acceptedBallot, Revision: t.revision, Value: t.value}
	p.acceptRound(now, t, base, revision, value, effects)
}

// applyBatch applies operations in order and returns the resulting revision and value. The
// outcomes are kept in the term's batch until the round is over.
func (p *Proposer) applyBatch(now monotime.Time, t *term, operations []Operation, effects *Effects) (ident.Revision, json.RawMessage) {
	revision, value := t.revision, t.value
	t.roundEvents, t.repairing = nil, false
	context := Context{Now: now, TermStartedAt: t.establishedAt, TermEventTimes: t.eventTimes, RecordTermEvent: func(event string) {
		// The event is already visible to later operations of the same round. If the round
		// fails, the term ends and its event times are dropped.
		t.roundEvents, t.eventTimes[event] = append(t.roundEvents, event), now
	}}
	for _, operation := range operations {
		if operation.Deadline != 0 && now.After(operation.Deadline) {
			// The client has stopped waiting, so this copy of the operation is never begun.
			effects.Outcomes = append(effects.Outcomes, Outcome{Operation: operation, Abandoned: true})
			continue
		}
		context.Revision, context.Decoded = revision, t.decoded
		t.repairing = t.repairing || operation.Kind == Repair
		result := p.stateMachine.Apply(context, value, operation)
		if result.Changed {
			value = result.Value
			revision++
			t.decoded = nil
		}
		if result.Decoded != nil {
			t.decoded = result.Decoded
		}
		t.batch = append(t.batch, Outcome{
			Operation: operation,
			Body:      result.Body,
			Failure:   result.Failure,
			Changed:   result.Changed,
			Revision:  revision,
			Value:     value,
		})
	}
	return revision, value
}
