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

// proposeAs sends a proposal as an operation, as a core does.
func (s *fixture) proposeAs(op string, a proposal.Args) proposer.Result {
	result := proposal.Handlers().Apply(proposer.Context{Revision: s.revision}, s.value, proposer.Operation{Op: ident.OperationID(op), Key: proposal.Key, Kind: "manifest/offer", Args: operation.Encode(a), Repeatable: op == ""})
	if result.Changed {
		s.value = result.Value
		s.revision++
	}
	return result
}

func argsOnVersion(kind proposal.Kind, base uint64, body string) proposal.Args {
	return proposal.Args{Kind: kind, BaseVersion: &base, AllowUnknown: true, Body: json.RawMessage(body)}
}

func argsOnRevision(base ident.Epoch, body string) proposal.Args {
	return proposal.Args{Kind: proposal.MergePatch, BaseRevision: &base, Body: json.RawMessage(body)}
}

// checkResent checks what the repeat of a taken proposal is told: the first return, or nothing
// sure where that is allowed. It changes nothing.
func checkResent(t *testing.T, s *fixture, result proposer.Result, first string, mayForget bool, note ...any) {
	t.Helper()
	must.False(t, result.Changed, must.Sprint(note...))
	if result.Failure == nil {
		must.Eq(t, first, string(result.Body), must.Sprint(note...))
		return
	}
	must.Eq(t, failure.OutcomeUnknown, result.Failure.Outcome, must.Sprint(append(note, result.Failure)...))
	must.True(t, mayForget, must.Sprint(note...))
}

// After many changes every taken proposal is sent again: the newest are acknowledged as
// before, older ones are left without a clear answer, and none is refused.
func TestNoAcceptedProposalIsRefused(t *testing.T) {
	const changes = 600
	for _, increment := range []uint64{1, 2, 5000} {
		s := &fixture{}
		var sent []proposal.Args
		var bodies []string
		for i := range uint64(changes) {
			version := 1 + i*increment
			args := argsOnVersion(proposal.ItemPatch, version-increment, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"s":{"n":%d}}}}`, version, i))
			if i == 0 || i%50 == 0 {
				args = argsOnVersion(proposal.FullConfig, version-increment, fullConfig(int(version), ""))
			}
			if i == 0 {
				*args.BaseVersion = 0
			}
			result := s.proposeAs("", args)
			must.Nil(t, result.Failure, must.Sprint(i))
			sent, bodies = append(sent, args), append(bodies, string(result.Body))
			if i%300 == 299 {
				for j := range sent {
					checkResent(t, s, s.proposeAs("", sent[j]), bodies[j], len(sent)-j > history.MaxEntries, increment, i, j)
				}
			}
		}
	}
}

// The same on the own surface, where a base is an epoch or a name stands in its place.
func TestNoAcceptedOperationIsRefused(t *testing.T) {
	const changes = 600
	for _, named := range []bool{false, true} {
		s := &fixture{}
		must.Nil(t, s.proposeOnRevision("begin", validConfig, false, nil).Failure)
		var sent []proposal.Args
		var ops, bodies []string
		for i := range changes {
			op := fmt.Sprint("op", i)
			args := argsOnRevision(s.read().Revision, fmt.Sprintf(`{"release":%d,"services":{"a.x":{"namespace":"n%d"}}}`, i, i))
			if named {
				args.BaseRevision, args.OperationID = nil, op
			}
			result := s.proposeAs(op, args)
			must.Nil(t, result.Failure, must.Sprint(i))
			sent, ops, bodies = append(sent, args), append(ops, op), append(bodies, string(result.Body))
		}
		for j := range sent {
			checkResent(t, s, s.proposeAs(ops[j], sent[j]), bodies[j], changes-j > history.MaxEntries, named, j)
		}
	}
}

// Of two proposals on each base the second is told a proved conflict, in whichever order
// the two come; once the base is older than what is remembered neither is told one.
func TestTwoProposalsOnEachBase(t *testing.T) {
	const changes = 400
	rng := rand.New(rand.NewPCG(1, 1))
	s := &fixture{}
	must.Nil(t, s.proposeAs("", argsOnVersion(proposal.FullConfig, 0, fullConfig(1, ""))).Failure)
	var losers []proposal.Args
	for i := range uint64(changes) {
		pair := []proposal.Args{
			argsOnVersion(proposal.ItemPatch, 1+i, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"x":{"n":%d}}}}`, i+2, i)),
			argsOnVersion(proposal.ItemPatch, 1+i, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"y":{"n":%d}}}}`, i+2, i)),
		}
		first := rng.IntN(2)
		must.Nil(t, s.proposeAs("", pair[first]).Failure)
		result := s.proposeAs("", pair[1-first])
		must.NotNil(t, result.Failure)
		must.Eq(t, failure.Conflict, result.Failure.Kind)
		must.Eq(t, failure.NotExecuted, result.Failure.Outcome)
		losers = append(losers, pair[1-first])
	}
	for i, args := range losers {
		result := s.proposeAs("", args)
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

// Eight operators at once, whose acknowledgements are lost as often as not and who then
// send the same again, at any later time: what was taken is never refused, what was not is
// never acknowledged, and each base has one winner.
func TestEightConcurrentProposals(t *testing.T) {
	const operators, steps, seeds = 8, 700, 8
	type sentProposal struct {
		args  proposal.Args
		body  string // of the return that was given when it was taken
		taken bool
	}
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(9, seed))
		s := &fixture{}
		must.Nil(t, s.proposeAs("", argsOnVersion(proposal.FullConfig, 0, fullConfig(1, ""))).Failure)
		current := make([]*sentProposal, operators)
		var past []*sentProposal
		winners := map[uint64]*sentProposal{}
		send := func(proposed *sentProposal) proposer.Result {
			result := s.proposeAs("", proposed.args)
			base := *proposed.args.BaseVersion
			switch {
			case result.Failure == nil && result.Changed:
				must.False(t, proposed.taken, must.Sprint(seed, base))
				must.Nil(t, winners[base], must.Sprint(seed, base))
				proposed.taken, proposed.body, winners[base] = true, string(result.Body), proposed
			case result.Failure == nil:
				must.True(t, proposed.taken, must.Sprint(seed, base))
				must.Eq(t, proposed.body, string(result.Body))
			case result.Failure.Outcome == failure.NotExecuted:
				must.False(t, proposed.taken, must.Sprint(seed, base, result.Failure))
			}
			return result
		}
		for step := range steps {
			operator := rng.IntN(operators)
			if current[operator] == nil {
				base := s.read().Version
				if rng.IntN(4) == 0 && base > 3 {
					base -= rng.Uint64N(3)
				}
				current[operator] = &sentProposal{args: argsOnVersion(proposal.ItemPatch, base, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"s%d":{"n":%d}}}}`, base+1+rng.Uint64N(3), operator, step))}
				past = append(past, current[operator])
			}
			if result := send(current[operator]); rng.IntN(2) == 0 && (result.Failure == nil || result.Failure.Outcome == failure.NotExecuted) {
				current[operator] = nil // it heard its answer
			}
			send(past[rng.IntN(len(past))])
		}
		must.Greater(t, history.MaxEntries, len(winners), must.Sprint(seed))
	}
}

// A state of a release that knew no chain remembers nothing: what was taken before is left
// without a clear answer, and what comes after is remembered.
func TestStateWithoutLog(t *testing.T) {
	s := &fixture{value: operation.Encode(operation.Value{State: json.RawMessage(`{"epoch":9,"release":40,"manifest":{"release":40},"taken":[{"e":9,"r":40,"m":"x"}]}`)}), revision: 9}
	must.Eq(t, failure.OutcomeUnknown, s.proposeAs("", argsOnVersion(proposal.ItemPatch, 39, `{"release":40}`)).Failure.Outcome)
	args := argsOnVersion(proposal.ItemPatch, 40, `{"release":41}`)
	result := s.proposeAs("", args)
	must.Nil(t, result.Failure)
	must.Nil(t, s.proposeAs("", argsOnVersion(proposal.ItemPatch, 41, `{"release":42}`)).Failure)
	checkResent(t, s, s.proposeAs("", args), string(result.Body), false)
	must.Eq(t, failure.Conflict, s.proposeAs("", argsOnVersion(proposal.ItemPatch, 40, `{"release":42}`)).Failure.Kind)
	must.Eq(t, failure.OutcomeUnknown, s.proposeAs("", argsOnVersion(proposal.ItemPatch, 39, `{"release":40}`)).Failure.Outcome)
}
