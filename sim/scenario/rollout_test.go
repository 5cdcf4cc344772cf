package scenario

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/sim/world"
)

// newRolloutWorld returns a small world with one route, an old service and a new service, and a
// function that submits an operation. behavior is the behavior of the new service's endpoints.
func newRolloutWorld(t *testing.T, seed uint64, behavior world.Behavior) (*world.World, func(proposer.Operation) node.Result) {
	w := world.New(seed)
	for i := range 3 {
		a := ident.Addr(fmt.Sprintf("10.0.0.%d:7000", i+1))
		w.Founders, w.Seeds = append(w.Founders, a), append(w.Seeds, a)
		w.NewCore(a, ident.Zone(fmt.Sprint("d", i)))
	}
	for _, c := range w.Cores {
		c.Start()
	}
	for i := range 4 {
		w.NewSidecar(ident.Addr(fmt.Sprintf("10.0.1.%d:7000", i+1)), ident.Zone(fmt.Sprint("d", i%3))).Start()
	}
	w.RunFor(2 * time.Second)
	submit := func(op proposer.Operation) (end node.Result) {
		for _, c := range w.Cores {
			if c.Healthy() {
				c.Submit(op, 4*time.Second, func(e node.Result) { end = e })
				break
			}
		}
		w.RunFor(4500 * time.Millisecond)
		return end
	}
	body := `{"services":{"old.x":{},"new.x":{}},"ways":{"shop":{"host":"shop.x","service":"old.x"}}}`
	must.Nil(t, submit(proposer.Operation{Key: proposal.Key, Kind: "manifest/offer", Args: operation.Encode(proposal.Args{Body: json.RawMessage(body)})}).Failure)
	for i, s := range w.Sidecars {
		s.NewEndpoint(ident.Server(fmt.Sprint("old", i)), "old.x", ident.Addr(fmt.Sprintf("10.0.2.%d:80", i)), world.Behavior{ServiceTime: 4 * time.Millisecond})
		s.NewEndpoint(ident.Server(fmt.Sprint("new", i)), "new.x", ident.Addr(fmt.Sprintf("10.0.3.%d:80", i)), behavior)
	}
	w.RunFor(time.Second)
	var nextCall func()
	nextCall = func() {
		w.Call(w.Sidecars[w.Rng.IntN(len(w.Sidecars))], world.RequestKind{Name: "buy", Method: "POST", Host: "shop.x", Path: "/", Service: "old.x", Weight: 1})
		w.After(5*time.Millisecond, nextCall)
	}
	w.After(0, nextCall)
	return w, submit
}

func beginRollout(t *testing.T, submit func(proposer.Operation) node.Result) {
	args := operation.Encode(rollout.Rollout{Route: "shop", From: "old.x", To: "new.x", Steps: []int{10, 50, 100}, StepSeconds: 2, MaxFailureRatio: 0.05})
	must.Nil(t, submit(proposer.Operation{Key: rollout.Key("shop"), Kind: "rollout/begin", Args: args}).Failure)
}

func readRollout(t *testing.T, submit func(proposer.Operation) node.Result) (r rollout.Rollout, route map[string]any) {
	result := submit(proposer.Operation{Key: rollout.Key("shop"), Kind: "rollout/read"})
	must.Nil(t, result.Failure)
	must.NoError(t, json.Unmarshal(result.Body, &r))
	result = submit(proposer.Operation{Key: proposal.Key, Kind: "manifest/read"})
	must.Nil(t, result.Failure)
	var response struct {
		Config struct {
			Routes map[string]map[string]any `json:"ways"`
		} `json:"manifest"`
	}
	must.NoError(t, json.Unmarshal(result.Body, &response))
	return r, response.Config.Routes["shop"]
}

func countExecutions(w *world.World, service ident.Service) (n int) {
	for _, r := range w.Checker.Executions {
		if r.Service == service {
			n++
		}
	}
	return n
}

// A rollout to a healthy service completes with the route at the new service, although the core that
// drives the rollout is killed and another core is frozen meanwhile.
func TestRolloutCompletesDespiteCoreFaults(t *testing.T) {
	for seed := range uint64(8) {
		w, submit := newRolloutWorld(t, seed, world.Behavior{ServiceTime: 4 * time.Millisecond})
		beginRollout(t, submit)
		killed := w.Cores[seed%3]
		killed.Kill(true)
		w.RunFor(3 * time.Second)
		killed.Start()
		w.RunFor(2 * time.Second)
		w.Cores[(seed+1)%3].Freeze(2 * time.Second)
		w.RunFor(25 * time.Second)
		r, route := readRollout(t, submit)
		must.Eq(t, rollout.Done, r.Phase, must.Sprintf("seed %d: %+v", seed, r))
		must.Eq(t, "new.x", route["service"].(string))
		must.Nil(t, route["split"])
		must.Greater(t, 1000, countExecutions(w, "new.x"))
	}
}

// A rollout to a failing service is rolled back automatically, before the new service receives a tenth
// of the traffic.
func TestFailingRolloutIsRolledBack(t *testing.T) {
	for seed := range uint64(8) {
		w, submit := newRolloutWorld(t, seed, world.Behavior{ServiceTime: 4 * time.Millisecond, MalformedRate: 0.5})
		before := len(w.Checker.Executions)
		beginRollout(t, submit)
		w.Cores[seed%3].Kill(false)
		w.RunFor(2 * time.Second)
		w.Cores[seed%3].Start()
		w.RunFor(15 * time.Second)
		r, route := readRollout(t, submit)
		must.Eq(t, rollout.RolledBack, r.Phase, must.Sprintf("seed %d: %+v", seed, r))
		must.Eq(t, "old.x", route["service"].(string))
		must.Nil(t, route["split"])
		must.StrContains(t, r.Reason, "defect")
		seen, calls := countExecutions(w, "new.x"), len(w.Checker.Executions)-before
		t.Logf("seed %d: %d of %d calls reached the failing service", seed, seen, calls)
		must.Less(t, calls/10, seen, must.Sprintf("seed %d: %d of %d calls reached the failing service", seed, seen, calls))
	}
}

// If two cores request transitions from the same step, only the first transition applies, in either
// order.
func TestConcurrentTransitionsApplyOnce(t *testing.T) {
	handlers := rollout.Handlers()
	args := operation.Encode(rollout.Rollout{Route: "w", From: "a", To: "b"})
	begun := handlers.Apply(proposer.Context{}, nil, proposer.Operation{Kind: "rollout/begin", Args: args})
	must.Nil(t, begun.Failure)
	transitions := []rollout.Transition{
		{Generation: 1, Step: 0, Phase: rollout.Running, NextStep: 1, NextPhase: rollout.Running},
		{Generation: 1, Step: 0, Phase: rollout.Running, NextStep: 0, NextPhase: rollout.RollingBack, Reason: "bad"},
	}
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		state, applied := begun.Value, 0
		for _, i := range order {
			result := handlers.Apply(proposer.Context{}, state, proposer.Operation{Kind: "rollout/move", Args: operation.Encode(transitions[i])})
			if result.Failure == nil {
				state = result.Value
				applied++
			}
		}
		must.Eq(t, 1, applied)
	}
	again := handlers.Apply(proposer.Context{}, begun.Value, proposer.Operation{Kind: "rollout/begin", Args: args})
	must.NotNil(t, again.Failure, must.Sprint("a second rollout of the same route began"))
}
