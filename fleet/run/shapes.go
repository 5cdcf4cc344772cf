package run

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/fleet/machine"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/gate"
)

// cutBoth cuts or heals both directions between two groups.
func (f *Fleet) cutBoth(one, two []*machine.Machine, on bool) {
	for _, a := range one {
		for _, b := range two {
			f.net.Cut(a.IP, b.IP, on)
			f.net.Cut(b.IP, a.IP, on)
		}
	}
}

// coreSplit cuts the cores into two groups; every sidecar reaches both.
func (f *Fleet) coreSplit(ctx context.Context) {
	cores := f.cores()
	n := 1 + f.rng.IntN(len(cores)-1)
	f.rng.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	f.cutBoth(cores[:n], cores[n:], true)
	f.pause(ctx, 4*time.Second)
	f.cutBoth(cores[:n], cores[n:], false)
}

// coreIsolated cuts all cores from all sidecars, and restarts a sidecar meanwhile: it
// must serve again from what its peers hold, and show nothing older than it did.
func (f *Fleet) coreIsolated(ctx context.Context) {
	f.loss("isolated core")
	var heal []func()
	for _, m := range f.Sides {
		heal = append(heal, f.out(m.Name, untold))
	}
	f.cutBoth(f.cores(), f.Sides, true)
	m := f.pick(f.Sides)
	up := f.out(m.Name, killed)
	m.Kill()
	f.pause(ctx, 500*time.Millisecond)
	f.start(m)
	up()
	f.pause(ctx, 4*time.Second)
	f.served(m)
	f.cutBoth(f.cores(), f.Sides, false)
	for _, end := range heal {
		end()
	}
	f.ready(m)
}

// served looks whether a sidecar that no core let in has a manifest in force.
func (f *Fleet) served(m *machine.Machine) {
	var got struct {
		Epoch ident.Epoch `json:"manifest"`
	}
	_, err := m.Ask(time.Second, "GET", "/status", nil, &got)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Check.Look("manifest-late")
	if err != nil || got.Epoch == 0 {
		f.Check.Break(f.now(), "manifest-late", "%s has nothing in force four seconds after it started beside an isolated core: %v", m.Name, err)
	}
}

func (f *Fleet) cores() []*machine.Machine {
	f.serve.mu.Lock()
	defer f.serve.mu.Unlock()
	return slices.Clone(f.Cores)
}

// burst offers manifests in quick succession.
func (f *Fleet) burst(ctx context.Context) {
	var out sync.WaitGroup
	for i := range 12 {
		out.Add(1)
		go func() {
			defer out.Done()
			mark := fmt.Sprintf("burst-%d-%d", f.now(), i)
			f.give(ctx, f.manifest(mark), "PUT", "", mark, false)
		}()
		f.pause(ctx, 20*time.Millisecond)
	}
	out.Wait()
}

// manifestLarge offers one of some 3.6 MB.
func (f *Fleet) manifestLarge(ctx context.Context) {
	mark := fmt.Sprintf("large-%d", f.now())
	tree := f.manifest(mark)
	for i := range 33000 {
		tree["ways"].(map[string]any)[fmt.Sprintf("bulk-%d", i)] = map[string]any{"host": fmt.Sprintf("h%d.a-long-name-of-a-host.bulk", i), "service": string(f.Deployment.Services[0].Name)}
	}
	f.give(ctx, tree, "PUT", "", mark, false)
	f.pause(ctx, 3*time.Second)
}

// serviceEmpty ends every endpoint of a service, as planned, and fills it again.
func (f *Fleet) serviceEmpty(ctx context.Context) {
	svc := f.Deployment.Services[f.rng.IntN(len(f.Deployment.Services))]
	f.loss("all endpoints of " + string(svc.Name))
	f.mu.Lock()
	var gone []*end
	for _, e := range f.ends {
		if !e.gone && e.Service == svc.Name {
			e.gone = true
			gone = append(gone, e)
		}
	}
	f.mu.Unlock()
	var out sync.WaitGroup
	for _, e := range gone {
		out.Add(1)
		go func() { defer out.Done(); f.leave(e) }()
	}
	out.Wait()
	f.pause(ctx, 2*time.Second)
	for _, e := range gone {
		if _, err := f.endpoint(e.side, e.svc, ""); err != nil {
			f.Say("%v", err)
		}
	}
}

// leave is an endpoint's own planned end.
func (f *Fleet) leave(e *end) {
	if e.Leave() {
		f.mu.Lock()
		f.left[e.Server] = time.Now()
		f.Check.Look("late-to-leaver")
		f.mu.Unlock()
	}
	e.Stop(3 * time.Second)
}

// endpointGone removes an endpoint for good, if its service keeps two.
func (f *Fleet) endpointGone(context.Context) {
	if e := f.some(3); e != nil {
		f.leave(e)
	}
}

// endpointHang makes an endpoint hang, connections still taken, for longer than its
// silence bites, and then wake.
func (f *Fleet) endpointHang(ctx context.Context) {
	e := f.some(2)
	if e == nil {
		return
	}
	e.Hang(true)
	// Its last beat may have come just now: then its loss shows this much later.
	f.pause(ctx, gate.SilentMost)
	f.mu.Lock()
	o := &outage{from: time.Now(), cause: "hung"}
	f.lost[e.Server] = append(f.lost[e.Server], o)
	f.Check.Look("late-to-leaver")
	f.mu.Unlock()
	f.pause(ctx, 4*time.Second)
	f.mu.Lock()
	o.to, e.gone = time.Now(), false
	f.mu.Unlock()
	e.Hang(false)
}
