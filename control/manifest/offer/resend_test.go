package offer_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/chain"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// propose sends a proposal as an operation, as a core does.
func (s *state) propose(op string, a offer.Args) proposer.Result {
	v := offer.Handlers().Apply(proposer.Context{Revision: s.rev}, s.value, proposer.Operation{Op: ident.Op(op), Key: offer.Key, Kind: "manifest/offer", Args: operation.Encode(a), Repeatable: op == ""})
	if v.Changed {
		s.value = v.Value
		s.rev++
	}
	return v
}

func onRelease(kind offer.Kind, base uint64, body string) offer.Args {
	return offer.Args{Kind: kind, BaseRelease: &base, Loose: true, Body: json.RawMessage(body)}
}

func onEpoch(base ident.Epoch, body string) offer.Args {
	return offer.Args{Kind: offer.Part, Base: &base, Body: json.RawMessage(body)}
}

// resent checks what the repeat of a taken proposal is told: the first return, or nothing
// sure where that is allowed. It changes nothing.
func resent(t *testing.T, s *state, v proposer.Result, first string, mayForget bool, note ...any) {
	t.Helper()
	must.False(t, v.Changed, must.Sprint(note...))
	if v.Failure == nil {
		must.Eq(t, first, string(v.Body), must.Sprint(note...))
		return
	}
	must.Eq(t, failure.OutcomeUnknown, v.Failure.Outcome, must.Sprint(append(note, v.Failure)...))
	must.True(t, mayForget, must.Sprint(note...))
}

// After many changes every taken proposal is sent again: the newest are acknowledged as
// before, older ones are left without a clear answer, and none is refused.
func TestNoTakenProposalIsRefused(t *testing.T) {
	const changes = 600
	for _, gap := range []uint64{1, 2, 5000} {
		s := &state{}
		var sent []offer.Args
		var said []string
		for i := range uint64(changes) {
			release := 1 + i*gap
			a := onRelease(offer.Change, release-gap, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"s":{"n":%d}}}}`, release, i))
			if i == 0 || i%50 == 0 {
				a = onRelease(offer.Whole, release-gap, whole(int(release), ""))
			}
			if i == 0 {
				*a.BaseRelease = 0
			}
			v := s.propose("", a)
			must.Nil(t, v.Failure, must.Sprint(i))
			sent, said = append(sent, a), append(said, string(v.Body))
			if i%300 == 299 {
				for j := range sent {
					resent(t, s, s.propose("", sent[j]), said[j], len(sent)-j > chain.Window, gap, i, j)
				}
			}
		}
	}
}

// The same on the own surface, where a base is an epoch or a name stands in its place.
func TestNoTakenOperationIsRefused(t *testing.T) {
	const changes = 600
	for _, named := range []bool{false, true} {
		s := &state{}
		must.Nil(t, s.offer("begin", good, false, nil).Failure)
		var sent []offer.Args
		var ops, said []string
		for i := range changes {
			op := fmt.Sprint("op", i)
			a := onEpoch(s.read().Epoch, fmt.Sprintf(`{"release":%d,"services":{"a.x":{"namespace":"n%d"}}}`, i, i))
			if named {
				a.Base, a.Op = nil, op
			}
			v := s.propose(op, a)
			must.Nil(t, v.Failure, must.Sprint(i))
			sent, ops, said = append(sent, a), append(ops, op), append(said, string(v.Body))
		}
		for j := range sent {
			resent(t, s, s.propose(ops[j], sent[j]), said[j], changes-j > chain.Window, named, j)
		}
	}
}

// Of two proposals on each base the second is told a proved conflict, in whichever order
// the two come; once the base is older than what is remembered neither is told one.
func TestTwoProposalsOnEachBase(t *testing.T) {
	const changes = 400
	rng := rand.New(rand.NewPCG(1, 1))
	s := &state{}
	must.Nil(t, s.propose("", onRelease(offer.Whole, 0, whole(1, ""))).Failure)
	var losers []offer.Args
	for i := range uint64(changes) {
		pair := []offer.Args{
			onRelease(offer.Change, 1+i, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"x":{"n":%d}}}}`, i+2, i)),
			onRelease(offer.Change, 1+i, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"y":{"n":%d}}}}`, i+2, i)),
		}
		first := rng.IntN(2)
		must.Nil(t, s.propose("", pair[first]).Failure)
		v := s.propose("", pair[1-first])
		must.NotNil(t, v.Failure)
		must.Eq(t, failure.Conflict, v.Failure.Kind)
		must.Eq(t, failure.NotExecuted, v.Failure.Outcome)
		losers = append(losers, pair[1-first])
	}
	for i, a := range losers {
		v := s.propose("", a)
		must.NotNil(t, v.Failure)
		must.False(t, v.Changed)
		if changes-i <= chain.Window {
			must.Eq(t, failure.Conflict, v.Failure.Kind, must.Sprint(i))
			must.Eq(t, failure.NotExecuted, v.Failure.Outcome, must.Sprint(i))
		} else {
			must.Eq(t, failure.OutcomeUnknown, v.Failure.Outcome, must.Sprint(i))
		}
	}
}

// Eight operators at once, whose acknowledgements are lost as often as not and who then
// send the same again, at any later time: what was taken is never refused, what was not is
// never acknowledged, and each base has one winner.
func TestEightProposalsUnderWay(t *testing.T) {
	const operators, steps, seeds = 8, 700, 8
	type order struct {
		args  offer.Args
		body  string // of the return that was given when it was taken
		taken bool
	}
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(9, seed))
		s := &state{}
		must.Nil(t, s.propose("", onRelease(offer.Whole, 0, whole(1, ""))).Failure)
		current := make([]*order, operators)
		var past []*order
		winners := map[uint64]*order{}
		send := func(o *order) proposer.Result {
			v := s.propose("", o.args)
			base := *o.args.BaseRelease
			switch {
			case v.Failure == nil && v.Changed:
				must.False(t, o.taken, must.Sprint(seed, base))
				must.Nil(t, winners[base], must.Sprint(seed, base))
				o.taken, o.body, winners[base] = true, string(v.Body), o
			case v.Failure == nil:
				must.True(t, o.taken, must.Sprint(seed, base))
				must.Eq(t, o.body, string(v.Body))
			case v.Failure.Outcome == failure.NotExecuted:
				must.False(t, o.taken, must.Sprint(seed, base, v.Failure))
			}
			return v
		}
		for step := range steps {
			who := rng.IntN(operators)
			if current[who] == nil {
				base := s.read().Release
				if rng.IntN(4) == 0 && base > 3 {
					base -= rng.Uint64N(3)
				}
				current[who] = &order{args: onRelease(offer.Change, base, fmt.Sprintf(`{"release":%d,"upsert":{"services":{"s%d":{"n":%d}}}}`, base+1+rng.Uint64N(3), who, step))}
				past = append(past, current[who])
			}
			if v := send(current[who]); rng.IntN(2) == 0 && (v.Failure == nil || v.Failure.Outcome == failure.NotExecuted) {
				current[who] = nil // it heard its answer
			}
			send(past[rng.IntN(len(past))])
		}
		must.Greater(t, chain.Window, len(winners), must.Sprint(seed))
	}
}

// A state of a release that knew no chain remembers nothing: what was taken before is left
// without a clear answer, and what comes after is remembered.
func TestStateWithoutChain(t *testing.T) {
	s := &state{value: operation.Encode(operation.Value{State: json.RawMessage(`{"epoch":9,"release":40,"manifest":{"release":40},"taken":[{"e":9,"r":40,"m":"x"}]}`)}), rev: 9}
	must.Eq(t, failure.OutcomeUnknown, s.propose("", onRelease(offer.Change, 39, `{"release":40}`)).Failure.Outcome)
	a := onRelease(offer.Change, 40, `{"release":41}`)
	v := s.propose("", a)
	must.Nil(t, v.Failure)
	must.Nil(t, s.propose("", onRelease(offer.Change, 41, `{"release":42}`)).Failure)
	resent(t, s, s.propose("", a), string(v.Body), false)
	must.Eq(t, failure.Conflict, s.propose("", onRelease(offer.Change, 40, `{"release":42}`)).Failure.Kind)
	must.Eq(t, failure.OutcomeUnknown, s.propose("", onRelease(offer.Change, 39, `{"release":40}`)).Failure.Outcome)
}
