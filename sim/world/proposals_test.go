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

// operatorProposal is one proposal of an operator. It adds a service of its own name, which
// nothing removes, so the last configuration tells whether it was accepted.
type operatorProposal struct {
	name                   string
	args                   proposal.Args
	acknowledged, rejected bool
}

// proposers are operators that propose at the same time, each again until the answer is clear.
type proposers struct {
	world         *World
	sent          []*operatorProposal
	newestVersion uint64 // the newest that was acknowledged
	pending       int
	stopped       bool
	resent        int // proposals sent once more after their answer
}

// send sends a proposal to some core, and loses one response in three.
func (p *proposers) send(sent *operatorProposal, done func(answered bool)) {
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

// run has one operator go on from proposal to proposal; now and then it sends some earlier
// proposal of any operator once more.
func (p *proposers) run(operator int) {
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

// Eight operators propose at once over five cores, with links that lose and duplicate messages,
// cores that are killed and lose power, and one response in three lost: a proposal that is in
// force at the end was never rejected, by any core at any time, one that was acknowledged is in
// force, and none was both.
func TestConcurrentProposalsOverLossyLinks(t *testing.T) {
	const cores, operators, duration, wanted = 5, 8, 60 * time.Second, 150
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			cluster := newCoreCluster(t, seed, cores, ring.Options{FileCount: 4, FileSize: 512 << 10})
			w := cluster.world
			w.Links.LossRate, w.Links.DuplicateRate, w.Links.DelayRate = 0.01, 0.02, 0.01
			cluster.changeConfig()
			p := &proposers{world: w, newestVersion: cluster.version}
			for operator := range operators {
				p.run(operator)
			}
			cluster.restartCores(duration)
			p.stopped = true
			w.RunFor(10 * time.Second)
			must.Eq(t, 0, p.pending, must.Sprint("proposals without a clear answer"))
			p.check(t, cluster.readConfig(), wanted)
			must.Eq(t, 0, len(w.Checker.Violations), must.Sprint(w.Checker.Violations))
		})
	}
}

// restartCores ends and restarts one core after the other for a while.
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

// check compares the answers with the last configuration; more than so many proposals must have
// been accepted.
func (p *proposers) check(t *testing.T, state proposal.State, wanted int) {
	var last struct {
		Services map[string]any `json:"services"`
	}
	must.NoError(t, json.Unmarshal(state.Document, &last))
	accepted, rejected := 0, 0
	for _, sent := range p.sent {
		_, inForce := last.Services[sent.name]
		must.False(t, inForce && sent.rejected, must.Sprint(sent.name, " was accepted and rejected"))
		must.False(t, !inForce && sent.acknowledged, must.Sprint(sent.name, " was acknowledged and is not in force"))
		if inForce {
			accepted++
		}
		if sent.rejected {
			rejected++
		}
	}
	t.Logf("%d proposals, %d accepted, %d rejected, %d sent again after their answer; revision %d", len(p.sent), accepted, rejected, p.resent, state.Revision)
	must.Greater(t, wanted, accepted)
	must.Positive(t, rejected)
	must.Eq(t, ident.ConfigRevision(accepted+1), state.Revision)
}
