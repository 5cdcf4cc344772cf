package world

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/storage/ring"
)

// operatorProposal is one proposal of an operator. The proposal adds a service with the name of the
// proposal. No proposal removes a service, so the final configuration shows which proposals were
// accepted.
type operatorProposal struct {
	name                   string
	args                   proposal.Args
	acknowledged, rejected bool
}

// concurrentOperators are operators that propose at the same time. Each resends its proposal until
// the outcome is known.
type concurrentOperators struct {
	world         *World
	sent          []*operatorProposal
	newestVersion uint64 // newest acknowledged version
	pending       int
	stopped       bool
	resent        int // number of proposals resent after their outcome was known
}

// send sends a proposal to a random core and drops one response in three.
func (p *concurrentOperators) send(sent *operatorProposal, done func(answered bool)) {
	op := proposer.Operation{Key: proposal.Key, Kind: "manifest/offer", Args: operation.Encode(sent.args), Repeatable: true}
	p.world.requestWithin(op, 900*time.Millisecond, time.Second, func(result *node.Result) {
		if p.world.Rng.IntN(3) == 0 {
			result = nil
		}
		switch {
		case result != nil && result.Failure == nil:
			var accepted proposal.Accepted
			_ = json.Unmarshal(result.Body, &accepted)
			p.newestVersion = max(p.newestVersion, accepted.Version)
			sent.acknowledged = true
			done(true)
		case result != nil && result.Failure.Outcome == failure.NotExecuted && (result.Failure.Kind == failure.Conflict || result.Failure.Kind == failure.Invalid):
			sent.rejected = true
			done(true)
		default:
			done(false)
		}
	})
}

// run makes one operator send one proposal after the other. After one proposal in three, the
// operator also resends a random earlier proposal of any operator.
func (p *concurrentOperators) run(operator int) {
	if p.stopped {
		return
	}
	w := p.world
	base := p.newestVersion
	next := &operatorProposal{name: fmt.Sprintf("o%d-%d", operator, len(p.sent)), args: proposal.Args{Kind: proposal.ItemPatch, BaseVersion: &base, AllowUnknown: true}}
	next.args.Body = json.RawMessage(fmt.Sprintf(`{"release":%d,"upsert":{"services":{"%s":{}}}}`, base+1+w.Rng.Uint64N(3), next.name))
	p.sent = append(p.sent, next)
	p.pending++
	var send func()
	send = func() {
		p.send(next, func(answered bool) {
			if !answered {
				w.After(w.randomUpTo(100*time.Millisecond), send)
				return
			}
			p.pending--
			if w.Rng.IntN(3) == 0 {
				p.resent++
				p.send(p.sent[w.Rng.IntN(len(p.sent))], func(bool) {})
			}
			w.After(w.randomUpTo(200*time.Millisecond), func() { p.run(operator) })
		})
	}
	send()
}

// Eight operators propose concurrently to five cores. Links lose and duplicate messages, cores are
// killed and lose power, and one response in three is lost. The final configuration must contain every
// acknowledged proposal and no proposal that any core rejected, so that no proposal was both
// acknowledged and rejected.
func TestConcurrentProposalsOverLossyLinks(t *testing.T) {
	const cores, operators, duration, wanted = 5, 8, 60 * time.Second, 150
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			cluster := newCoreCluster(t, seed, cores, ring.Options{FileCount: 4, FileSize: 512 << 10})
			w := cluster.world
			w.Links.LossRate, w.Links.DuplicateRate, w.Links.DelayRate = 0.01, 0.02, 0.01
			cluster.changeConfig()
			p := &concurrentOperators{world: w, newestVersion: cluster.version}
			for operator := range operators {
				p.run(operator)
			}
			cluster.restartCores(duration)
			p.stopped = true
			w.RunFor(10 * time.Second)
			must.Eq(t, 0, p.pending, must.Sprint("proposals with an unknown outcome"))
			p.check(t, cluster.readConfig(), wanted)
			must.Eq(t, 0, len(w.Checker.Violations), must.Sprint(w.Checker.Violations))
		})
	}
}

// restartCores ends and restarts random cores, one after the other, for a duration.
func (cluster *coreCluster) restartCores(duration time.Duration) {
	w := cluster.world
	for end := w.now.Add(duration); w.now < end; {
		w.RunFor(time.Second + w.randomUpTo(2*time.Second))
		c := w.Cores[w.Rng.IntN(len(w.Cores))]
		if w.Rng.IntN(2) == 0 {
			c.PowerOff()
		} else {
			c.Kill(false)
		}
		w.RunFor(time.Second)
		c.Start()
	}
}

// readConfig reads the configuration at the first core.
func (cluster *coreCluster) readConfig() (state proposal.State) {
	result := cluster.submit(cluster.world.Cores[0], proposer.Operation{Key: proposal.Key, Kind: "manifest/read"}, 4*time.Second)
	must.NotNil(cluster, result)
	must.NoError(cluster, json.Unmarshal(result.Body, &state))
	return state
}

// check compares the responses with the final configuration. More than the wanted number of
// proposals must have been accepted.
func (p *concurrentOperators) check(t *testing.T, state proposal.State, wanted int) {
	var last struct {
		Services map[string]any `json:"services"`
	}
	must.NoError(t, json.Unmarshal(state.Document, &last))
	accepted, rejected := 0, 0
	for _, sent := range p.sent {
		_, inConfig := last.Services[sent.name]
		must.False(t, inConfig && sent.rejected, must.Sprint(sent.name, " was rejected and is in the final configuration"))
		must.False(t, !inConfig && sent.acknowledged, must.Sprint(sent.name, " was acknowledged and is not in the final configuration"))
		if inConfig {
			accepted++
		}
		if sent.rejected {
			rejected++
		}
	}
	t.Logf("%d proposals, %d accepted, %d rejected, %d resent after their outcome was known; revision %d", len(p.sent), accepted, rejected, p.resent, state.Revision)
	must.Greater(t, wanted, accepted)
	must.Positive(t, rejected)
	must.Eq(t, ident.ConfigRevision(accepted+1), state.Revision)
}
