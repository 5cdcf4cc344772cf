package offer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

const good = `{"services":{"a.x":{"namespace":"n"}},"ways":{"w":{"host":"h.x","service":"a.x"}}}`

type state struct {
	value json.RawMessage
	rev   ident.Revision
}

func (s *state) offer(op, body string, part bool, base *ident.Epoch) proposer.Result {
	v := offer.Handlers().Apply(proposer.Context{Revision: s.rev}, s.value, proposer.Operation{Op: ident.Op(op), Key: offer.Key, Kind: "manifest/offer",
		Args: operation.Encode(offer.Args{Partial: part, Base: base, Body: json.RawMessage(body)})})
	if v.Changed {
		s.value = v.Value
		s.rev++
	}
	return v
}

func (s *state) read() offer.Held {
	var h offer.Held
	_ = json.Unmarshal(operation.State(s.value), &h)
	return h
}

// Every order of offers on one base has one winner; the rest are told a conflict and
// leave no trace.
func TestRaceHasOneWinner(t *testing.T) {
	for first := range 3 {
		s := &state{}
		must.Nil(t, s.offer("0", good, false, nil).Failure)
		base := s.read().Epoch
		won := 0
		for i := range 3 {
			n := (first + i) % 3
			v := s.offer(fmt.Sprint("op", n), fmt.Sprintf(`{"services":{"a.x":{"namespace":"n%d"}}}`, n), true, &base)
			if v.Failure == nil {
				won++
				continue
			}
			must.Eq(t, failure.Conflict, v.Failure.Kind)
			must.Eq(t, failure.NotExecuted, v.Failure.Outcome)
		}
		must.Eq(t, 1, won)
		must.StrContains(t, string(s.read().Manifest), fmt.Sprintf(`"n%d"`, first))
		must.Eq(t, base+1, s.read().Epoch)
	}
}

// Bad manifests are refused with the path of every fault and leave the epoch alone.
func TestBadManifestsAreRefusedWithPaths(t *testing.T) {
	for body, want := range map[string]string{
		`{`:                                     "malformed",
		`[]`:                                    "malformed",
		`{}x`:                                   "malformed",
		`{"services":{},"ways":{},"extra":1}`:   "extra",
		`{"services":{"a.x":{"drainS":"two"}}}`: "services.a.x.drainS",
		`{"services":{"A.X":{}}}`:               "services.A.X",
		`{"services":{"a.x":{"allowance":{"part":0.5}}}}`:                                                    "services.a.x.allowance.part",
		`{"ways":{"w":{"host":"h","service":"nobody"}}}`:                                                     "ways.w.service",
		`{"services":{"a.x":{}},"ways":{"w":{"host":"h","service":"a.x","pathStart":"no"}}}`:                 "ways.w.pathStart",
		`{"services":{"a.x":{}},"ways":{"w":{"service":"a.x"}}}`:                                             "ways.w.host",
		`{"services":{"a.x":{}},"ways":{"w":{"host":"h","service":"a.x","tries":1.5}}}`:                      "ways.w.tries",
		`{"services":{"a.x":{}},"ways":{"w":{"host":"h","service":"a.x","urgent":1,"zz":2}}}`:                "ways.w.zz",
		`{"services":{"a.x":{}},"ways":{"v":{"host":"h","service":"a.x"},"w":{"host":"H","service":"a.x"}}}`: "ways.w.pathStart",
	} {
		s := &state{}
		must.Nil(t, s.offer("0", good, false, nil).Failure)
		v := s.offer("1", body, false, nil)
		must.NotNil(t, v.Failure, must.Sprint(body))
		must.StrContains(t, v.Failure.Error(), want)
		must.Eq(t, ident.Epoch(1), s.read().Epoch)
	}
	s := &state{}
	many := `{"ways":{` + strings.Repeat("", 0)
	for i := range 250 {
		many += fmt.Sprintf(`"w%d":{"host":"h","service":"none"},`, i)
	}
	v := s.offer("1", strings.TrimSuffix(many, ",")+"}}", false, nil)
	must.NotNil(t, v.Failure)
	must.Eq(t, 100, len(v.Failure.Faults))
}

// A repeat of an operation gives the first return and changes nothing; a part takes
// fields away with null; a dangling part is refused.
func TestRepeatsAndParts(t *testing.T) {
	s := &state{}
	must.Nil(t, s.offer("0", good, false, nil).Failure)
	a := s.offer("1", `{"services":{"b.x":{}},"ways":{"v":{"host":"v.x","service":"b.x"}}}`, true, nil)
	must.Nil(t, a.Failure)
	b := s.offer("1", `{"services":{"b.x":{}},"ways":{"v":{"host":"v.x","service":"b.x"}}}`, true, nil)
	must.Eq(t, string(a.Body), string(b.Body))
	must.False(t, b.Changed)
	v := s.offer("2", `{"services":{"b.x":null}}`, true, nil)
	must.NotNil(t, v.Failure)
	must.StrContains(t, v.Failure.Error(), "ways.v.service")
	must.Nil(t, s.offer("3", `{"services":{"b.x":null},"ways":{"v":null}}`, true, nil).Failure)
	must.StrNotContains(t, string(s.read().Manifest), "b.x")
	must.Eq(t, ident.Epoch(3), s.read().Epoch)
}
