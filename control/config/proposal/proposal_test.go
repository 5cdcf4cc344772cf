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

// validConfig is a document that validation.Strict accepts.
const validConfig = `{"services":{"a.x":{"namespace":"n"}},"ways":{"w":{"host":"h.x","service":"a.x"}}}`

// fixture holds the stored value of the control key and its revision.
type fixture struct {
	value    json.RawMessage
	revision ident.Revision
}

// apply executes an operation on the control key.
func (f *fixture) apply(op proposer.Operation) proposer.Result {
	result := proposal.Handlers().Apply(proposer.Context{Revision: f.revision}, f.value, op)
	if result.Changed {
		f.value = result.Value
		f.revision++
	}
	return result
}

func (f *fixture) proposeOnRevision(op, body string, isPatch bool, base *ident.ConfigRevision) proposer.Result {
	args := proposal.Args{Partial: isPatch, BaseRevision: base, Body: json.RawMessage(body)}
	return f.apply(proposer.Operation{
		Op:   ident.OperationID(op),
		Key:  proposal.Key,
		Kind: "manifest/offer",
		Args: operation.Encode(args),
	})
}

func (f *fixture) read() proposal.State {
	var current proposal.State
	_ = json.Unmarshal(operation.State(f.value), &current)
	return current
}

// Guards against lost updates: of several proposals on one base, in every order, one is accepted;
// the others are rejected with Conflict and change nothing.
func TestConcurrentProposalsAcceptOne(t *testing.T) {
	for first := range 3 {
		f := &fixture{}
		must.Nil(t, f.proposeOnRevision("0", validConfig, false, nil).Failure)
		base := f.read().Revision
		accepted := 0
		for i := range 3 {
			n := (first + i) % 3
			result := f.proposeOnRevision(fmt.Sprint("op", n), fmt.Sprintf(`{"services":{"a.x":{"namespace":"n%d"}}}`, n), true, &base)
			if result.Failure == nil {
				accepted++
				continue
			}
			must.Eq(t, failure.Conflict, result.Failure.Kind)
			must.Eq(t, failure.NotExecuted, result.Failure.Outcome)
		}
		must.Eq(t, 1, accepted)
		must.StrContains(t, string(f.read().Document), fmt.Sprintf(`"n%d"`, first))
		must.Eq(t, base+1, f.read().Revision)
	}
}

// Invalid configurations are rejected with the path of every fault and leave the revision
// unchanged.
func TestInvalidConfigsAreRejectedWithPaths(t *testing.T) {
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
		f := &fixture{}
		must.Nil(t, f.proposeOnRevision("0", validConfig, false, nil).Failure)
		result := f.proposeOnRevision("1", body, false, nil)
		must.NotNil(t, result.Failure, must.Sprint(body))
		must.StrContains(t, result.Failure.Error(), want)
		must.Eq(t, ident.ConfigRevision(1), f.read().Revision)
	}
	f := &fixture{}
	var routes []string
	for i := range 250 {
		routes = append(routes, fmt.Sprintf(`"w%d":{"host":"h","service":"none"}`, i))
	}
	result := f.proposeOnRevision("1", `{"ways":{`+strings.Join(routes, ",")+`}}`, false, nil)
	must.NotNil(t, result.Failure)
	must.Eq(t, 100, len(result.Failure.Faults))
}

// A repeat of an operation gets the first response and changes nothing; a merge patch removes
// fields with null; a merge patch that leaves a dangling reference is rejected.
func TestRepeatsAndMergePatches(t *testing.T) {
	f := &fixture{}
	must.Nil(t, f.proposeOnRevision("0", validConfig, false, nil).Failure)
	first := f.proposeOnRevision("1", `{"services":{"b.x":{}},"ways":{"v":{"host":"v.x","service":"b.x"}}}`, true, nil)
	must.Nil(t, first.Failure)
	repeat := f.proposeOnRevision("1", `{"services":{"b.x":{}},"ways":{"v":{"host":"v.x","service":"b.x"}}}`, true, nil)
	must.Eq(t, string(first.Body), string(repeat.Body))
	must.False(t, repeat.Changed)
	result := f.proposeOnRevision("2", `{"services":{"b.x":null}}`, true, nil)
	must.NotNil(t, result.Failure)
	must.StrContains(t, result.Failure.Error(), "ways.v.service")
	must.Nil(t, f.proposeOnRevision("3", `{"services":{"b.x":null},"ways":{"v":null}}`, true, nil).Failure)
	must.StrNotContains(t, string(f.read().Document), "b.x")
	must.Eq(t, ident.ConfigRevision(3), f.read().Revision)
}
