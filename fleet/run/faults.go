package run

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/fleet/machine"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/stand/caller"
	"cottonarch.example/cottonarch/stand/endpoint"
)

// Faults are what the fleet can bring about in real processes.
var Faults = map[string]func(*Fleet, context.Context){
	"core-kill":        func(f *Fleet, ctx context.Context) { f.coreKill(ctx, false) },
	"core-empty":       func(f *Fleet, ctx context.Context) { f.coreKill(ctx, true) },
	"core-move":        (*Fleet).coreMove,
	"core-split":       (*Fleet).coreSplit,
	"core-isolated":    (*Fleet).coreIsolated,
	"burst":            (*Fleet).burst,
	"manifest-large":   (*Fleet).manifestLarge,
	"service-empty":    (*Fleet).serviceEmpty,
	"endpoint-gone":    (*Fleet).endpointGone,
	"endpoint-hang":    (*Fleet).endpointHang,
	"core-freeze":      (*Fleet).coreFreeze,
	"release":          (*Fleet).release,
	"core-cut":         (*Fleet).coreCut,
	"core-stop":        (*Fleet).coreStop,
	"side-kill":        (*Fleet).sideKill,
	"side-freeze":      (*Fleet).sideFreeze,
	"side-cut":         (*Fleet).sideCut,
	"side-cut-core":    (*Fleet).sideCutCore,
	"side-stop":        (*Fleet).sideStop,
	"endpoint-replace": (*Fleet).endpointReplace,
	"endpoint-reuse":   (*Fleet).endpointReuse,
	"endpoint-bad":     (*Fleet).endpointBad,
	"release-bad":      (*Fleet).releaseBad,
	"herd":             (*Fleet).herd,
	"crowd":            (*Fleet).crowd,
	"district":         (*Fleet).district1,
	"heavy":            (*Fleet).heavy,
}

// Names lists the faults.
func Names() []string {
	var out []string
	for n := range Faults {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// faults runs the named faults in turn, spread over the run.
func (f *Fleet) faults(ctx context.Context) {
	f.pause(ctx, 8*time.Second)
	for i := 0; len(f.Boot.Faults) > 0 && ctx.Err() == nil; i++ {
		if d, ok := ctx.Deadline(); ok && time.Until(d) < 9*time.Second {
			return
		}
		name := f.Boot.Faults[i%len(f.Boot.Faults)]
		f.Say("%6.1fs %s", time.Duration(f.now()).Seconds(), name)
		f.count("fault " + name)
		Faults[name](f, ctx)
		f.pause(ctx, f.Every)
	}
}

func (f *Fleet) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *Fleet) pick(list []*machine.Machine) *machine.Machine {
	return list[f.rng.IntN(len(list))]
}

func (f *Fleet) back(m *machine.Machine) {
	f.start(m)
	f.ready(m)
}

// start starts the process and waits until it listens, which ends its being out.
func (f *Fleet) start(m *machine.Machine) {
	if err := m.Start(); err != nil {
		f.Say("%s does not start: %v", m.Name, err)
	}
	m.Live(10 * time.Second)
}

func (f *Fleet) ready(m *machine.Machine) {
	if !m.Ready(20 * time.Second) {
		f.mu.Lock()
		f.Check.Break(f.now(), "slow-recovery", "%s was not ready 20s after its start", m.Name)
		f.mu.Unlock()
	}
}

func (f *Fleet) coreKill(ctx context.Context, empty bool) {
	m := f.pick(f.Cores)
	m.Kill()
	if empty {
		if err := m.Empty(); err != nil {
			f.Say("%v", err)
		}
	}
	f.pause(ctx, time.Second)
	f.back(m)
	if empty {
		f.votes(m, 20*time.Second)
		f.count("new disks that vote")
	}
}

// coreMove loses a core machine for good; an empty one at a new address, whose seeds
// are one core and two sidecars, takes its slot.
func (f *Fleet) coreMove(context.Context) {
	i := f.rng.IntN(len(f.Cores))
	f.serve.mu.Lock()
	old := f.Cores[i]
	f.serve.mu.Unlock()
	old.Kill()
	f.mu.Lock()
	f.serial++
	n := 20 + f.serial%200
	f.mu.Unlock()
	m, err := f.machine("core", n)
	if err == nil {
		err = m.Write(map[string]any{"address": m.Addr, "listen": m.Inner, "district": f.district(i), "data": m.Data, "ringFileMiB": 12, "ringFiles": 4,
			"seeds": []string{f.Cores[(i+1)%len(f.Cores)].Addr, f.Sides[0].Addr, f.Sides[1].Addr}})
	}
	if err == nil {
		err = m.Start()
	}
	if err != nil {
		f.Say("%v", err)
		return
	}
	f.votes(m, 25*time.Second)
	f.count("new disks that vote")
	f.serve.mu.Lock()
	f.Cores[i] = m
	f.serve.mu.Unlock()
}

// votes waits until a core's disk votes.
func (f *Fleet) votes(m *machine.Machine, limit time.Duration) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for until := time.Now().Add(limit); time.Now().Before(until); <-t.C {
		var got struct {
			Votes bool `json:"votes"`
		}
		if _, err := m.Ask(500*time.Millisecond, "GET", "/status", nil, &got); err == nil && got.Votes {
			return
		}
	}
	f.mu.Lock()
	f.Check.Break(f.now(), "slow-recovery", "%s does not vote %v after it came back empty", m.Name, limit)
	f.mu.Unlock()
}

func (f *Fleet) coreFreeze(ctx context.Context) {
	m := f.pick(f.Cores)
	m.Freeze()
	f.pause(ctx, 3*time.Second)
	m.Thaw()
}

func (f *Fleet) cutOff(m *machine.Machine, on bool) {
	for _, o := range append(slices.Clone(f.Cores), f.Sides...) {
		if o != m {
			f.net.Cut(m.IP, o.IP, on)
			f.net.Cut(o.IP, m.IP, on)
		}
	}
}

func (f *Fleet) coreCut(ctx context.Context) {
	m := f.pick(f.Cores)
	f.cutOff(m, true)
	f.pause(ctx, 3*time.Second)
	f.cutOff(m, false)
}

func (f *Fleet) coreStop(context.Context) { f.stopCore(f.pick(f.cores())) }

func (f *Fleet) stopCore(m *machine.Machine) {
	if !m.Stop(20 * time.Second) {
		f.mu.Lock()
		f.Check.Break(f.now(), "dropped-in-stop", "%s did not stop in 20s", m.Name)
		f.mu.Unlock()
		m.Kill()
	}
	f.back(m)
}

// release rolls every process to the new release, cores first, one by one; until it is
// over the fleet is of both.
func (f *Fleet) release(ctx context.Context) {
	for _, m := range f.cores() {
		m.Release(f.Bin)
		f.stopCore(m)
		f.votes(m, 20*time.Second)
	}
	for _, m := range f.Sides {
		m.Release(f.Bin)
		f.stopSide(m)
		f.pause(ctx, 200*time.Millisecond)
	}
}

func (f *Fleet) sideKill(ctx context.Context) {
	m := f.pick(f.Sides)
	up := f.out(m.Name, killed)
	m.Kill()
	f.pause(ctx, time.Second)
	f.start(m)
	up()
	f.ready(m)
}

func (f *Fleet) sideFreeze(ctx context.Context) {
	m := f.pick(f.Sides)
	thaw := f.out(m.Name, frozen)
	m.Freeze()
	f.pause(ctx, 2500*time.Millisecond)
	m.Thaw()
	thaw()
}

func (f *Fleet) sideCut(ctx context.Context) {
	m := f.pick(f.Sides)
	heal := f.out(m.Name, cutOff)
	f.cutOff(m, true)
	f.pause(ctx, 3*time.Second)
	f.cutOff(m, false)
	heal()
}

// sideCutCore cuts a sidecar from the cores alone; manifests must still reach it, by
// its peers, so it has no excuse.
func (f *Fleet) sideCutCore(ctx context.Context) {
	m := f.pick(f.Sides)
	cut := func(on bool) {
		for _, o := range f.Cores {
			f.net.Cut(m.IP, o.IP, on)
			f.net.Cut(o.IP, m.IP, on)
		}
	}
	cut(true)
	f.pause(ctx, 6*time.Second)
	cut(false)
}

// sideStop is a planned stop of a sidecar under traffic: what is in hand must end
// well. Its callers stop coming once it says that it is not ready, as the platform
// would see to; here they go on, so those that find no one there are excused, and
// those that were taken are not.
func (f *Fleet) sideStop(context.Context) { f.stopSide(f.pick(f.Sides)) }

func (f *Fleet) stopSide(m *machine.Machine) {
	up := f.out(m.Name, stopped)
	if !m.Stop(25 * time.Second) {
		f.mu.Lock()
		f.Check.Break(f.now(), "dropped-in-stop", "%s did not stop in 25s", m.Name)
		f.mu.Unlock()
		m.Kill()
	}
	f.mu.Lock()
	if m.Exit != 0 {
		f.Check.Break(f.now(), "dropped-in-stop", "%s ended with %d", m.Name, m.Exit)
	}
	f.mu.Unlock()
	f.start(m)
	up()
	f.ready(m)
}

// some picks an endpoint of a service that has so many at least.
func (f *Fleet) some(least int) *end {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := map[string]int{}
	var live []*end
	for _, e := range f.ends {
		if !e.gone {
			count[string(e.Service)]++
			live = append(live, e)
		}
	}
	live = slices.DeleteFunc(live, func(e *end) bool { return count[string(e.Service)] < least })
	if len(live) == 0 {
		return nil
	}
	e := live[f.rng.IntN(len(live))]
	e.gone = true
	return e
}

func (f *Fleet) endpointReplace(context.Context) {
	e := f.some(2)
	if e == nil {
		return
	}
	f.leave(e)
	if _, err := f.endpoint(e.side, e.svc, ""); err != nil {
		f.Say("%v", err)
	}
}

// endpointReuse kills an endpoint; two seconds later its address serves another.
func (f *Fleet) endpointReuse(ctx context.Context) {
	e := f.some(2)
	if e == nil {
		return
	}
	other := f.Deployment.Services[f.rng.IntN(len(f.Deployment.Services))]
	e.Die()
	f.pause(ctx, 2*time.Second)
	if _, err := f.endpoint(e.side, other, string(e.Addr)); err != nil {
		f.Say("%v", err)
	}
	if _, err := f.endpoint(e.side, e.svc, ""); err != nil {
		f.Say("%v", err)
	}
}

func (f *Fleet) endpointBad(ctx context.Context) {
	f.mu.Lock()
	var e *end
	for _, x := range f.ends {
		if !x.gone {
			e = x
		}
	}
	f.mu.Unlock()
	if e == nil {
		return
	}
	e.Behave(endpoint.Mood{Work: 4 * time.Millisecond, Lose: 0.2, Garbage: 0.1, Cut: 0.1, Odd: 0.3})
	f.pause(ctx, 4*time.Second)
	e.Behave(endpoint.Mood{Work: 4 * time.Millisecond})
}

// crowd: many users arrive at once, on every machine.
func (f *Fleet) crowd(ctx context.Context) {
	short, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	var out sync.WaitGroup
	for i, s := range f.Sides {
		out.Add(1)
		go func() {
			defer out.Done()
			caller.Run(short, caller.Boot{Name: fmt.Sprintf("%s-crowd%d", s.Name, time.Now().UnixNano()), Addr: ident.Addr(s.Caller), Kinds: f.kinds(),
				Rate: 3 * f.Deployment.Rate * f.Scale / float64(len(f.Sides)), Book: f.book, Seed: f.Seed + 100 + uint64(i), Limit: 8 * time.Second})
		}()
	}
	out.Wait()
}

// releaseBad: every endpoint of one service loses, garbles or cuts off most returns.
func (f *Fleet) releaseBad(ctx context.Context) {
	svc := f.Deployment.Services[f.rng.IntN(len(f.Deployment.Services))].Name
	f.mu.Lock()
	ends := slices.Clone(f.ends)
	f.mu.Unlock()
	for _, e := range ends {
		if e.Service == svc {
			e.Behave(endpoint.Mood{Work: 4 * time.Millisecond, Lose: 0.2, Garbage: 0.2, Cut: 0.2, Odd: 0.2})
			defer e.Behave(endpoint.Mood{Work: 4 * time.Millisecond})
		}
	}
	f.pause(ctx, 6*time.Second)
}

// loss notes a bad loss.
func (f *Fleet) loss(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Check.Losses = append(f.Check.Losses, check.Loss{At: f.now(), Name: name})
}

// herd kills half the sidecars and a core at once.
func (f *Fleet) herd(ctx context.Context) {
	f.loss("herd")
	var hit []*machine.Machine
	for i, m := range f.Sides {
		if i%2 == 0 {
			hit = append(hit, m)
		}
	}
	hit = append(hit, f.pick(f.Cores))
	f.all(ctx, hit)
}

// district1 takes a whole district away, cores, sidecars and endpoints, and brings it
// back some seconds later.
func (f *Fleet) district1(ctx context.Context) {
	f.loss("district")
	n := f.rng.IntN(f.Deployment.Districts)
	var hit []*machine.Machine
	for i, m := range f.Cores {
		if i%f.Deployment.Districts == n && (len(f.Cores) > 1) {
			hit = append(hit, m)
		}
	}
	gone := map[*machine.Machine]bool{}
	for i, m := range f.Sides {
		if i%f.Deployment.Districts == n {
			hit = append(hit, m)
			gone[m] = true
		}
	}
	f.mu.Lock()
	var dead []*end
	for _, e := range f.ends {
		if gone[e.side] && !e.gone {
			e.gone = true
			dead = append(dead, e)
		}
	}
	f.mu.Unlock()
	for _, e := range dead {
		e.Die()
	}
	f.all(ctx, hit)
	for _, e := range dead {
		if _, err := f.endpoint(e.side, e.svc, ""); err != nil {
			f.Say("%v", err)
		}
	}
}

// heavy kills every core and half the sidecars at once.
func (f *Fleet) heavy(ctx context.Context) {
	f.loss("everything at once")
	back := f.out(coreMajority, coreMajority)
	hit := slices.Clone(f.Cores)
	for i, m := range f.Sides {
		if i%2 == 1 {
			hit = append(hit, m)
		}
	}
	f.all(ctx, hit)
	back()
	f.pause(ctx, 9*time.Second)
}

func (f *Fleet) all(ctx context.Context, hit []*machine.Machine) {
	done := make(chan bool, len(hit))
	up := map[string]func(){}
	for _, m := range hit {
		up[m.Name] = f.out(m.Name, killed)
		go func() { m.Kill(); done <- true }()
	}
	for range hit {
		<-done
	}
	f.pause(ctx, 1500*time.Millisecond)
	for _, m := range hit {
		go func() { f.start(m); up[m.Name](); f.ready(m); done <- true }()
	}
	for range hit {
		<-done
	}
}
