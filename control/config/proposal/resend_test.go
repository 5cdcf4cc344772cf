package proposal_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/history"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// proposeAs sends a proposal as an operation with an identifier, as a core does.
func (f *fixture) proposeAs(op string, args proposal.Args) proposer.Result {
	return f.apply(proposer.Operation{
		Op:         ident.OperationID(op),
		Key:        proposal.Key,
		Kind:       "manifest/offer",
		Args:       operation.Encode(args),
		Repeatable: op == "",
	})
}

func argsOnVersion(kind proposal.Kind, base uint64, body string) proposal.Args {
	return proposal.Args{Kind: kind, BaseVersion: &base, AllowUnknown: true, Body: json.RawMessage(body)}
}

func argsOnRevision(base ident.ConfigRevision, body string) proposal.Args {
	return proposal.Args{Kind: proposal.MergePatch, BaseRevision: &base, Body: json.RawMessage(body)}
}

// checkResent checks the result of resending an accepted proposal: the first response or, if
// mayBeUnknown is set, an unknown outcome. The resent proposal must change nothing.
func checkResent(t *testing.T, result proposer.Result, first string, mayBeUnknown bool, note ...any) {
	t.Helper()
	must.False(t, result.Changed, must.Sprint(note...))
	if result.Failure == nil {
		must.Eq(t, first, string(result.Body), must.Sprint(note...))
		return
	}
	must.Eq(t, failure.OutcomeUnknown, result.Failure.Outcome, must.Sprint(append(note, result.Failure)...))
	must.True(t, mayBeUnknown, must.Sprint(note...))
}

// Guards against an operator who resends an accepted proposal and learns that it was not executed.
// After many changes, every accepted proposal is resent: the newest proposals get their first
// response, the outcome of older proposals is unknown.
func TestResentAcceptedProposalIsNotRejected(t *testing.T) {
	const changes = 600
	for _, increment := range []uint64{1, 2, 5000} {
		f := &fixture{}
		var sent []proposal.Args
		var bodies []string
		for i := range uint64(changes) {
			version := 1 + i*increment
			args := argsOnVersion(
				proposal.ItemPatch,
				version-increment,
				fmt.Sprintf(`{"release":%d,"upsert":{"services":{"s":{"n":%d}}}}`, version, i),
			)
			if i == 0 || i%50 == 0 {
				args = argsOnVersion(proposal.FullConfig, version-increment, fullConfig(int(version), ""))
			}
			if i == 0 {
				*args.BaseVersion = 0
			}
			result := f.proposeAs("", args)
			must.Nil(t, result.Failure, must.Sprint(i))
			sent, bodies = append(sent, args), append(bodies, string(result.Body))
			if i%300 == 299 {
				for index := range sent {
					checkResent(t, f.proposeAs("", sent[index]), bodies[index], len(sent)-index > history.MaxEntries, increment, i, index)
				}
			}
		}
	}
}

// Like TestResentAcceptedProposalIsNotRejected, for proposals that name a base revision, or an
// operation ID instead of a base.
func TestResentAcceptedOperationIsNotRejected(t *testing.T) {
	const changes = 600
	for _, withOperationID := range []bool{false, true} {
		f := &fixture{}
		must.Nil(t, f.proposeOnRevision("begin", validConfig, false, nil).Failure)
		var sent []proposal.Args
		var ops, bodies []string
		for i := range changes {
			op := fmt.Sprint("op", i)
			args := argsOnRevision(f.read().Revision, fmt.Sprintf(`{"release":%d,"services":{"a.x":{"namespace":"n%d"}}}`, i, i))
			if withOperationID {
				args.BaseRevision, args.OperationID = nil, op
			}
			result := f.proposeAs(op, args)
			must.Nil(t, result.Failure, must.Sprint(i))
			sent, ops, bodies = append(sent, args), append(ops, op), append(bodies, string(result.Body))
		}
		for index := range sent {
			checkResent(t, f.proposeAs(ops[index], sent[index]), bodies[index], changes-index > history.MaxEntries, withOperationID, index)
		}
	}
}

// Of two proposals on each base, the second to arrive is rejected with Conflict. Once the base is
// older than the log, the outcome of resending the rejected proposal is unknown.
func TestTwoProposalsOnEachBase(t *testing.T) {
	const changes = 400
	rng := rand.New(rand.NewPCG(1, 1))
	f := &fixture{}
	must.Nil(t, f.proposeAs("", argsOnVersion(proposal.FullConfig, 0, fullConfig(1, ""))).Failure)
	var rejected []proposal.Args
	for i := range uint64(changes) {
		pair := []proposal.Args{
			argsOnVersion(proposal.ItemPatch, 1+i, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"x":{"n":%d}}}}`, i+2, i)),
			argsOnVersion(proposal.ItemPatch, 1+i, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"y":{"n":%d}}}}`, i+2, i)),
		}
		first := rng.IntN(2)
		must.Nil(t, f.proposeAs("", pair[first]).Failure)
		result := f.proposeAs("", pair[1-first])
		must.NotNil(t, result.Failure)
		must.Eq(t, failure.Conflict, result.Failure.Kind)
		must.Eq(t, failure.NotExecuted, result.Failure.Outcome)
		rejected = append(rejected, pair[1-first])
	}
	for i, args := range rejected {
		result := f.proposeAs("", args)
		must.NotNil(t, result.Failure)
		must.False(t, result.Changed)
		if changes-i <= history.MaxEntries {
			must.Eq(t, failure.Conflict, result.Failure.Kind, must.Sprint(i))
			must.Eq(t, failure.NotExecuted, result.Failure.Outcome, must.Sprint(i))
		} else {
			must.Eq(t, failure.OutcomeUnknown, result.Failure.Outcome, must.Sprint(i))
		}
	}
}

// Eight concurrent operators lose every second response on average and resend the same proposal at
// any later time. An accepted proposal must never be rejected as not executed, a rejected proposal
// must never be acknowledged, and each base must have at most one accepted proposal.
func TestEightConcurrentProposals(t *testing.T) {
	const operators, steps, seeds = 8, 700, 8
	type sentProposal struct {
		args     proposal.Args
		body     string // body of the first response that accepted the proposal
		accepted bool
	}
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(9, seed))
		f := &fixture{}
		must.Nil(t, f.proposeAs("", argsOnVersion(proposal.FullConfig, 0, fullConfig(1, ""))).Failure)
		current := make([]*sentProposal, operators)
		var past []*sentProposal
		acceptedByBase := map[uint64]*sentProposal{}
		send := func(proposed *sentProposal) proposer.Result {
			result := f.proposeAs("", proposed.args)
			base := *proposed.args.BaseVersion
			switch {
			case result.Failure == nil && result.Changed:
				must.False(t, proposed.accepted, must.Sprint(seed, base))
				must.Nil(t, acceptedByBase[base], must.Sprint(seed, base))
				proposed.accepted, proposed.body, acceptedByBase[base] = true, string(result.Body), proposed
			case result.Failure == nil:
				must.True(t, proposed.accepted, must.Sprint(seed, base))
				must.Eq(t, proposed.body, string(result.Body))
			case result.Failure.Outcome == failure.NotExecuted:
				must.False(t, proposed.accepted, must.Sprint(seed, base, result.Failure))
			}
			return result
		}
		for step := range steps {
			operator := rng.IntN(operators)
			if current[operator] == nil {
				base := f.read().Version
				if rng.IntN(4) == 0 && base > 3 {
					base -= rng.Uint64N(3)
				}
				current[operator] = &sentProposal{
					args: argsOnVersion(
						proposal.ItemPatch,
						base,
						fmt.Sprintf(`{"release":%d,"upsert":{"services":{"s%d":{"n":%d}}}}`, base+1+rng.Uint64N(3), operator, step),
					),
				}
				past = append(past, current[operator])
			}
			if result := send(current[operator]); rng.IntN(2) == 0 &&
				(result.Failure == nil || result.Failure.Outcome == failure.NotExecuted) {
				current[operator] = nil // the operator received the response
			}
			send(past[rng.IntN(len(past))])
		}
		must.Greater(t, history.MaxEntries, len(acceptedByBase), must.Sprint(seed))
	}
}

// A state stored by a release that does not support logs: the outcome of earlier proposals is
// unknown, and later proposals are recorded in a new log.
func TestStateWithoutLog(t *testing.T) {
	f := &fixture{
		value: operation.Encode(
			operation.Value{State: json.RawMessage(`{"epoch":9,"release":40,"manifest":{"release":40},"taken":[{"e":9,"r":40,"m":"x"}]}`)},
		),
		revision: 9,
	}
	must.Eq(t, failure.OutcomeUnknown, f.proposeAs("", argsOnVersion(proposal.ItemPatch, 39, `{"release":40}`)).Failure.Outcome)
	args := argsOnVersion(proposal.ItemPatch, 40, `{"release":41}`)
	result := f.proposeAs("", args)
	must.Nil(t, result.Failure)
	must.Nil(t, f.proposeAs("", argsOnVersion(proposal.ItemPatch, 41, `{"release":42}`)).Failure)
	checkResent(t, f.proposeAs("", args), string(result.Body), false)
	must.Eq(t, failure.Conflict, f.proposeAs("", argsOnVersion(proposal.ItemPatch, 40, `{"release":42}`)).Failure.Kind)
	must.Eq(t, failure.OutcomeUnknown, f.proposeAs("", argsOnVersion(proposal.ItemPatch, 39, `{"release":40}`)).Failure.Outcome)
}
