package proposal_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const validConfig = `{"services":{"a.x":{"namespace":"n"}},"ways":{"w":{"host":"h.x","service":"a.x"}}}`

type fixture struct {
	value    json.RawMessage
	revision ident.Revision
}

func (s *fixture) proposeOnRevision(op, body string, isPatch bool, base *ident.Epoch) proposer.Result {
	result := proposal.Handlers().Apply(proposer.Context{Revision: s.revision}, s.value, proposer.Operation{Op: ident.OperationID(op), Key: proposal.Key, Kind: "manifest/offer",
		Args: operation.Encode(proposal.Args{Partial: isPatch, BaseRevision: base, Body: json.RawMessage(body)})})
	if result.Changed {
		s.value = result.Value
		s.revision++
	}
	return result
}

func (s *fixture) read() proposal.State {
	var current proposal.State
	_ = json.Unmarshal(operation.State(s.value), &current)
	return current
}

// Every order of offers on one base has one winner; the rest are told a conflict and
// leave no trace.
func TestRaceHasOneWinner(t *testing.T) {
	for first := range 3 {
		s := &fixture{}
		must.Nil(t, s.proposeOnRevision("0", validConfig, false, nil).Failure)
		base := s.read().Revision
		won := 0
		for i := range 3 {
			n := (first + i) % 3
			result := s.proposeOnRevision(fmt.Sprint("op", n), fmt.Sprintf(`{"services":{"a.x":{"namespace":"n%d"}}}`, n), true, &base)
			if result.Failure == nil {
				won++
				continue
			}
			must.Eq(t, failure.Conflict, result.Failure.Kind)
			must.Eq(t, failure.NotExecuted, result.Failure.Outcome)
		}
		must.Eq(t, 1, won)
		must.StrContains(t, string(s.read().Document), fmt.Sprintf(`"n%d"`, first))
		must.Eq(t, base+1, s.read().Revision)
	}
}

// Bad manifests are refused with the path of every fault and leave the epoch alone.
func TestBadConfigsAreRefusedWithPaths(t *testing.T) {
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
		s := &fixture{}
		must.Nil(t, s.proposeOnRevision("0", validConfig, false, nil).Failure)
		result := s.proposeOnRevision("1", body, false, nil)
		must.NotNil(t, result.Failure, must.Sprint(body))
		must.StrContains(t, result.Failure.Error(), want)
		must.Eq(t, ident.Epoch(1), s.read().Revision)
	}
	s := &fixture{}
	many := `{"ways":{` + strings.Repeat("", 0)
	for i := range 250 {
		many += fmt.Sprintf(`"w%d":{"host":"h","service":"none"},`, i)
	}
	result := s.proposeOnRevision("1", strings.TrimSuffix(many, ",")+"}}", false, nil)
	must.NotNil(t, result.Failure)
	must.Eq(t, 100, len(result.Failure.Faults))
}

// A repeat of an operation gives the first return and changes nothing; a part takes
// fields away with null; a dangling part is refused.
func TestRepeatsAndMergePatches(t *testing.T) {
	s := &fixture{}
	must.Nil(t, s.proposeOnRevision("0", validConfig, false, nil).Failure)
	a := s.proposeOnRevision("1", `{"services":{"b.x":{}},"ways":{"v":{"host":"v.x","service":"b.x"}}}`, true, nil)
	must.Nil(t, a.Failure)
	b := s.proposeOnRevision("1", `{"services":{"b.x":{}},"ways":{"v":{"host":"v.x","service":"b.x"}}}`, true, nil)
	must.Eq(t, string(a.Body), string(b.Body))
	must.False(t, b.Changed)
	result := s.proposeOnRevision("2", `{"services":{"b.x":null}}`, true, nil)
	must.NotNil(t, result.Failure)
	must.StrContains(t, result.Failure.Error(), "ways.v.service")
	must.Nil(t, s.proposeOnRevision("3", `{"services":{"b.x":null},"ways":{"v":null}}`, true, nil).Failure)
	must.StrNotContains(t, string(s.read().Document), "b.x")
	must.Eq(t, ident.Epoch(3), s.read().Revision)
}
