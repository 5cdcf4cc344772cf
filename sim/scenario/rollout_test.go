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

// newRolloutWorld makes a small world with one route, an old service and a new one, whose
// endpoints behave as given; the function that it returns runs an operation.
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
	e := submit(proposer.Operation{Key: rollout.Key("shop"), Kind: "rollout/read"})
	must.Nil(t, e.Failure)
	must.NoError(t, json.Unmarshal(e.Body, &r))
	e = submit(proposer.Operation{Key: proposal.Key, Kind: "manifest/read"})
	must.Nil(t, e.Failure)
	var h struct {
		Config struct {
			Routes map[string]map[string]any `json:"ways"`
		} `json:"manifest"`
	}
	must.NoError(t, json.Unmarshal(e.Body, &h))
	return r, h.Config.Routes["shop"]
}

func countExecutions(w *world.World, service ident.Service) (n int) {
	for _, r := range w.Checker.Executions {
		if r.Service == service {
			n++
		}
	}
	return n
}

// A rollout whose new service does well ends with the route at it, also if the core that drives
// it is killed and another core is frozen meanwhile.
func TestRolloutEndsAtTheNewService(t *testing.T) {
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

// A rollout whose new service does badly is rolled back by itself, before much of the traffic
// has reached it.
func TestRolloutIsRolledBack(t *testing.T) {
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
		t.Logf("seed %d: %d of %d calls reached the bad service", seed, seen, calls)
		must.Less(t, calls/10, seen, must.Sprintf("seed %d: %d of %d calls reached the bad service", seed, seen, calls))
	}
}

// Of two cores' moves that build on the same step, one is made, in either order.
func TestRolloutMovesOnce(t *testing.T) {
	kinds := rollout.Handlers()
	args := operation.Encode(rollout.Rollout{Route: "w", From: "a", To: "b"})
	v := kinds.Apply(proposer.Context{}, nil, proposer.Operation{Kind: "rollout/begin", Args: args})
	must.Nil(t, v.Failure)
	moves := []rollout.Transition{
		{Generation: 1, Step: 0, Phase: rollout.Running, NextStep: 1, NextPhase: rollout.Running},
		{Generation: 1, Step: 0, Phase: rollout.Running, NextStep: 0, NextPhase: rollout.RollingBack, Reason: "bad"},
	}
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		value, won := v.Value, 0
		for _, i := range order {
			got := kinds.Apply(proposer.Context{}, value, proposer.Operation{Kind: "rollout/move", Args: operation.Encode(moves[i])})
			if got.Failure == nil {
				value = got.Value
				won++
			}
		}
		must.Eq(t, 1, won)
	}
	again := kinds.Apply(proposer.Context{}, v.Value, proposer.Operation{Kind: "rollout/begin", Args: args})
	must.NotNil(t, again.Failure, must.Sprint("two rollouts of one route"))
}
