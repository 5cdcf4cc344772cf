package plan

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// stage is a small world with one way, an old service and a new one.
func stage(t *testing.T, seed uint64, mood world.Mood) (*world.World, func(proposer.Operation) node.End) {
	w := world.New(seed)
	for i := range 3 {
		a := ident.Addr(fmt.Sprintf("10.0.0.%d:7000", i+1))
		w.Founders, w.Seeds = append(w.Founders, a), append(w.Seeds, a)
		w.NewCore(a, ident.District(fmt.Sprint("d", i)))
	}
	for _, c := range w.Cores {
		c.Start()
	}
	for i := range 4 {
		w.NewSide(ident.Addr(fmt.Sprintf("10.0.1.%d:7000", i+1)), ident.District(fmt.Sprint("d", i%3))).Start()
	}
	w.RunFor(2 * time.Second)
	do := func(d proposer.Operation) (end node.End) {
		for _, c := range w.Cores {
			if c.Well() {
				c.Deed(d, 4*time.Second, func(e node.End) { end = e })
				break
			}
		}
		w.RunFor(4500 * time.Millisecond)
		return end
	}
	body := `{"services":{"old.x":{},"new.x":{}},"ways":{"shop":{"host":"shop.x","service":"old.x"}}}`
	must.Nil(t, do(proposer.Operation{Key: offer.Key, Kind: "manifest/offer", Args: operation.Encode(offer.Args{Body: json.RawMessage(body)})}).Failure)
	for i, s := range w.Sides {
		s.NewEndpoint(ident.Server(fmt.Sprint("old", i)), "old.x", ident.Addr(fmt.Sprintf("10.0.2.%d:80", i)), world.Mood{Work: 4 * time.Millisecond})
		s.NewEndpoint(ident.Server(fmt.Sprint("new", i)), "new.x", ident.Addr(fmt.Sprintf("10.0.3.%d:80", i)), mood)
	}
	w.RunFor(time.Second)
	var round func()
	round = func() {
		w.Call(w.Sides[w.Rng.IntN(len(w.Sides))], world.Kind{Name: "buy", Method: "POST", Host: "shop.x", Path: "/", Service: "old.x", Weight: 1})
		w.After(5*time.Millisecond, round)
	}
	w.After(0, round)
	return w, do
}

func begin(t *testing.T, do func(proposer.Operation) node.End) {
	args := operation.Encode(rollout.Rollout{Way: "shop", From: "old.x", To: "new.x", Steps: []int{10, 50, 100}, StepS: 2, Most: 0.05})
	must.Nil(t, do(proposer.Operation{Key: rollout.Key("shop"), Kind: "rollout/begin", Args: args}).Failure)
}

func read(t *testing.T, do func(proposer.Operation) node.End) (r rollout.Rollout, way map[string]any) {
	e := do(proposer.Operation{Key: rollout.Key("shop"), Kind: "rollout/read"})
	must.Nil(t, e.Failure)
	must.NoError(t, json.Unmarshal(e.Body, &r))
	e = do(proposer.Operation{Key: offer.Key, Kind: "manifest/read"})
	must.Nil(t, e.Failure)
	var h struct {
		Manifest struct {
			Ways map[string]map[string]any `json:"ways"`
		} `json:"manifest"`
	}
	must.NoError(t, json.Unmarshal(e.Body, &h))
	return r, h.Manifest.Ways["shop"]
}

func count(w *world.World, svc ident.Service) (n int) {
	for _, r := range w.Check.Runs {
		if r.Service == svc {
			n++
		}
	}
	return n
}

// A roll-out whose new service does well ends with the way at it, also when the core
// that holds the duty is killed and another core is frozen on the way.
func TestRolloutEndsAtTheNewService(t *testing.T) {
	for seed := range uint64(8) {
		w, do := stage(t, seed, world.Mood{Work: 4 * time.Millisecond})
		begin(t, do)
		hurt := w.Cores[seed%3]
		hurt.Kill(true)
		w.RunFor(3 * time.Second)
		hurt.Start()
		w.RunFor(2 * time.Second)
		w.Cores[(seed+1)%3].Freeze(2 * time.Second)
		w.RunFor(25 * time.Second)
		r, way := read(t, do)
		must.Eq(t, rollout.Done, r.Phase, must.Sprintf("seed %d: %+v", seed, r))
		must.Eq(t, "new.x", way["service"].(string))
		must.Nil(t, way["split"])
		must.Greater(t, 1000, count(w, "new.x"))
	}
}

// One that does badly is put back by itself, before much of the traffic saw it.
func TestRolloutIsPutBack(t *testing.T) {
	for seed := range uint64(8) {
		w, do := stage(t, seed, world.Mood{Work: 4 * time.Millisecond, Garbage: 0.5})
		before := len(w.Check.Runs)
		begin(t, do)
		w.Cores[seed%3].Kill(false)
		w.RunFor(2 * time.Second)
		w.Cores[seed%3].Start()
		w.RunFor(15 * time.Second)
		r, way := read(t, do)
		must.Eq(t, rollout.Back, r.Phase, must.Sprintf("seed %d: %+v", seed, r))
		must.Eq(t, "old.x", way["service"].(string))
		must.Nil(t, way["split"])
		must.StrContains(t, r.Why, "defect")
		seen, all := count(w, "new.x"), len(w.Check.Runs)-before
		t.Logf("seed %d: %d of %d calls saw the bad service", seed, seen, all)
		must.Less(t, all/10, seen, must.Sprintf("seed %d: %d of %d calls saw the bad service", seed, seen, all))
	}
}

// Every order of two cores' moves that build on one step makes one of them.
func TestRolloutMovesOnce(t *testing.T) {
	kinds := rollout.Handlers()
	args := operation.Encode(rollout.Rollout{Way: "w", From: "a", To: "b"})
	v := kinds.Apply(proposer.Context{}, nil, proposer.Operation{Kind: "rollout/begin", Args: args})
	must.Nil(t, v.Failure)
	moves := []rollout.Move{
		{Round: 1, At: 0, Phase: rollout.Running, NextAt: 1, NextPhase: rollout.Running},
		{Round: 1, At: 0, Phase: rollout.Running, NextAt: 0, NextPhase: rollout.Backing, Why: "bad"},
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
	must.NotNil(t, again.Failure, must.Sprint("two roll-outs of one way"))
}
