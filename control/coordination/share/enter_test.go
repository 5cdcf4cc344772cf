package share

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
)

func (d *desk) enter(all ...Entrant) []Entered {
	v := Handlers().Apply(proposer.Context{}, d.value, proposer.Operation{Op: "same", Kind: EnterKind, Args: operation.Encode(EnterArgs{all})})
	must.Nil(d.t, v.Failure)
	d.value = v.Value
	var out []Entered
	must.NoError(d.t, json.Unmarshal(v.Body, &out))
	must.Len(d.t, len(all), out)
	return out
}

// Claims rise over every claim that was given before: by batches, by a release with a
// counter for each node, or as a core has heard; also when a release that does not know
// the count has left it out.
func TestClaimsOfBatchesRise(t *testing.T) {
	d := &desk{t: t}
	d.do("share/take", Args{Node: "old", Claim: 77})
	first := d.enter(Entrant{Node: "old"}, Entrant{Node: "a"})
	must.Eq(t, claimsFrom+1, first[0].Claim)
	must.Eq(t, claimsFrom+2, first[1].Claim)
	must.Eq(t, claimsFrom+4, d.enter(Entrant{Node: "b"}, Entrant{Node: "a"})[1].Claim)
	s, _ := d.shares()
	s.Claims = 0
	d.value = operation.Encode(operation.Value{State: operation.Encode(s)})
	must.Eq(t, claimsFrom+5, d.enter(Entrant{Node: "c"})[0].Claim)
	must.Eq(t, 5000001+claimsFrom, d.enter(Entrant{Node: "d", Above: claimsFrom + 5000000})[0].Claim)
	must.Eq(t, 5000002+claimsFrom, d.enter(Entrant{Node: "d", Above: 1<<64 - 1})[0].Claim)
	d.do("share/free", Args{Node: "d", Claim: claimsFrom + 5000002})
	must.Eq(t, 5000003+claimsFrom, d.enter(Entrant{Node: "d"})[0].Claim)
}

// A repeat under one mark of a run keeps its claim, until a higher one was heard of; no
// operation is kept for it, so the state does not grow with batches.
func TestRepeatedEntryKeepsItsClaim(t *testing.T) {
	d := &desk{t: t}
	one := Entrant{Node: "a", Run: "one"}
	claim := d.enter(one)[0].Claim
	must.Eq(t, claim, d.enter(one, Entrant{Node: "b", Run: "x"})[0].Claim)
	must.Eq(t, claim, d.enter(Entrant{Node: "a", Run: "one", Above: claim})[0].Claim)
	must.Less(t, d.enter(Entrant{Node: "a", Run: "one", Above: claim + 5})[0].Claim, claim+5)
	two := d.enter(Entrant{Node: "a", Run: "two"})[0].Claim
	must.Less(t, d.enter(one)[0].Claim, two)
	var page operation.Value
	must.NoError(t, json.Unmarshal(d.value, &page))
	must.Len(t, 0, page.Past)
}

// Nodes of a cold start are granted the fair share of all of them, not the first of them
// more than the last.
func TestBatchSharesFairly(t *testing.T) {
	d := &desk{t: t}
	var all []Entrant
	for n := range 84 {
		all = append(all, Entrant{Node: node(n), Total: 208})
	}
	for _, e := range d.enter(all...) {
		must.Eq(t, Told{N: 2, Fair: 2, Total: 208}, e.Share)
	}
	_, sum := d.shares()
	must.Eq(t, 168, sum)
}

// In any order of batches, takes, promises and frees, of any totals: a grant raises the sum
// of the shares to no more than the smallest total, only a promise lowers a share, and the
// claim of a node only rises.
func TestBatchesKeepTheTotal(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := &desk{t: t}
		last := map[ident.Node]ident.Epoch{}
		totals := []int{60, 178, 208}
		for range 40 {
			before, was := Shares{}, 0
			if len(d.value) > 0 {
				before, was = d.shares()
			}
			switch n := node(rng.IntN(30)); rng.IntN(4) {
			case 0:
				if g, ok := before.Nodes[n]; ok {
					d.do("share/free", Args{Node: n, Claim: g.Claim})
					continue
				}
			case 1:
				if g, ok := before.Nodes[n]; ok {
					using := rng.IntN(g.N + 1)
					d.do("share/take", Args{Node: n, Claim: g.Claim, Seq: g.Seq + 1, Using: &using, Total: totals[rng.IntN(3)]})
				}
			default:
				var all []Entrant
				for _, i := range rng.Perm(30)[:1+rng.IntN(20)] {
					all = append(all, Entrant{Node: node(i), Total: totals[rng.IntN(3)]})
				}
				for i, e := range d.enter(all...) {
					must.Less(t, e.Claim, last[all[i].Node])
					last[all[i].Node] = e.Claim
					must.GreaterEq(t, before.Nodes[all[i].Node].N, e.Share.N)
				}
			}
			if len(d.value) == 0 {
				continue
			}
			after, sum := d.shares()
			must.LessEq(t, max(was, after.total()), sum, must.Sprint(seed))
		}
	}
}

// What is no batch is refused and changes nothing.
func TestWrongBatchesAreRefused(t *testing.T) {
	for _, a := range []EnterArgs{{}, {[]Entrant{{}}}, {[]Entrant{{Node: "a"}, {Node: "a"}}}, {make([]Entrant, EnterMost+1)}, {[]Entrant{{Node: "a", Run: string(make([]byte, RunMost+1))}}}} {
		v := Handlers().Apply(proposer.Context{}, nil, proposer.Operation{Kind: EnterKind, Args: operation.Encode(a)})
		must.NotNil(t, v.Failure)
		must.False(t, v.Changed)
	}
}

func node(n int) ident.Node { return ident.Node(fmt.Sprint("node-", n)) }
