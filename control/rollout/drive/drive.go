// Package drive works out the difference between a roll-out's wanted state and the
// manifest in force, one operation at a time.
package drive

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// leastCalls is how many ended calls a verdict on a step rests on.
const leastCalls = 20

// Ends counts a service's ended calls and those of them that ended in a failure.
type Ends struct {
	All uint64 `json:"all"`
	Bad uint64 `json:"bad"`
}

// seat is where a step stands. Invariant: it is of one round, step and phase, and is
// begun anew by whoever takes the duty over, so a step is watched for its whole time
// by one core.
type seat struct {
	round uint64
	at    int
	began monotime.Time
	base  Ends
}

// Drive is the duty's memory.
type Drive struct{ seats map[string]seat }

// New makes one without memory.
func New() *Drive { return &Drive{seats: map[string]seat{}} }

// Plan gives the next operation for a roll-out, if one is due.
func (d *Drive) Plan(now monotime.Time, r state.Rollout, m *check.Manifest, ends func(ident.Service) Ends) (proposer.Operation, bool) {
	if m == nil || r.Phase != state.Running && r.Phase != state.Backing {
		delete(d.seats, r.Way)
		return proposer.Operation{}, false
	}
	var way *check.Way
	for i := range m.Ways {
		if m.Ways[i].Name == r.Way {
			way = &m.Ways[i]
		}
	}
	if r.Phase == state.Backing {
		return d.back(r, way, m)
	}
	if way == nil || m.Services[r.To].Hostname == "" {
		return move(r, state.Backing, r.At, "the way or the service is no more in the manifest")
	}
	want := r.Steps[r.At]
	if part(way, r) != want*check.Hundredth {
		delete(d.seats, r.Way)
		return give(r, m, want)
	}
	s, ok := d.seats[r.Way]
	if !ok || s.round != r.Round || s.at != r.At {
		s = seat{r.Round, r.At, now, ends(r.To)}
		d.seats[r.Way] = s
	}
	e := ends(r.To)
	all, bad := e.All-s.base.All, e.Bad-s.base.Bad
	if e.All < s.base.All || e.Bad < s.base.Bad { // another core's sums
		delete(d.seats, r.Way)
		return proposer.Operation{}, false
	}
	if all >= leastCalls && float64(bad) > r.Most*float64(all) {
		return move(r, state.Backing, r.At, fmt.Sprintf("%d of %d calls ended in a defect at %d%%", bad, all, want))
	}
	if now.Since(s.began) < time.Duration(r.StepS*float64(time.Second)) || all < leastCalls {
		return proposer.Operation{}, false
	}
	if r.At == len(r.Steps)-1 {
		return move(r, state.Done, r.At, "")
	}
	return move(r, state.Running, r.At+1, "")
}

// part is the share of the way that goes to the new service now, in millionths.
func part(w *check.Way, r state.Rollout) int {
	if w.Service == r.To {
		return check.Whole
	}
	for _, s := range w.Split {
		if s.Service == r.To {
			return s.Millionths()
		}
	}
	return 0
}

func (d *Drive) back(r state.Rollout, w *check.Way, m *check.Manifest) (proposer.Operation, bool) {
	delete(d.seats, r.Way)
	if w == nil || w.Service != r.To && part(w, r) == 0 {
		return move(r, state.Back, r.At, "")
	}
	return give(r, m, 0)
}

func move(r state.Rollout, p state.Phase, at int, why string) (proposer.Operation, bool) {
	return proposer.Operation{Key: state.Key(r.Way), Kind: "rollout/move", Args: operation.Encode(state.Move{
		Round: r.Round, At: r.At, Phase: r.Phase, NextAt: at, NextPhase: p, Why: why})}, true
}

// give offers the part of a manifest that brings the way to a share, on the epoch that
// was looked at, so it never overwrites what an operator did meanwhile.
func give(r state.Rollout, m *check.Manifest, percent int) (proposer.Operation, bool) {
	way := map[string]any{"service": string(r.From), "split": nil}
	switch {
	case percent == 100:
		way["service"] = string(r.To)
	case percent > 0:
		way["split"] = map[string]any{string(r.To): percent}
	}
	base := m.Epoch
	body, _ := json.Marshal(map[string]any{"ways": map[string]any{r.Way: way}})
	return proposer.Operation{Key: offer.Key, Kind: "manifest/offer", Args: operation.Encode(offer.Args{Partial: true, Base: &base, Body: body})}, true
}
