// Package run brings up a deployment as real processes on loopback, drives its
// traffic, brings failures about and counts against the never-list.
package run

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/fleet/machine"
	"cottonarch.example/cottonarch/fleet/relay"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/sim/plan"
	"cottonarch.example/cottonarch/stand/caller"
	"cottonarch.example/cottonarch/stand/endpoint"
)

// Boot describes a run.
type Boot struct {
	Bin        string
	Old        string // the release that every process starts as, Bin if empty
	Dir        string
	Deployment plan.Deployment
	For        time.Duration
	Faults     []string
	Every      time.Duration
	Seed       uint64
	Scale      float64
	Say        func(string, ...any)
}

// Fleet is a running deployment.
type Fleet struct {
	Boot
	net    *relay.Net
	Cores  []*machine.Machine
	Sides  []*machine.Machine
	Check  *check.Check
	book   *caller.Book
	ledger *endpoint.Ledger
	began  time.Time
	rng    *rand.Rand

	open   sync.WaitGroup // epochs that sidecars are still awaited to have
	mu     sync.Mutex
	ends   []*end
	serial int
	left   map[ident.Server]time.Time // leaving confirmed
	lost   map[ident.Server][]*outage // loss confirmed, until it is heard of again
	outs   map[string][]*outage       // by machine, or coreMajority
	top    ident.Epoch
	Spread []time.Duration // time until a confirmed epoch was in force on a node
	Counts map[string]int
	serve  *clients
}

type end struct {
	*endpoint.Endpoint
	side *machine.Machine
	svc  plan.Service
	gone bool
}

func (f *Fleet) at(t time.Time) monotime.Time { return monotime.Time(t.Sub(f.began)) }
func (f *Fleet) now() monotime.Time           { return f.at(time.Now()) }

func (f *Fleet) count(name string) { f.mu.Lock(); f.Counts[name]++; f.mu.Unlock() }

// empty is a fleet without any process.
func empty(b Boot) *Fleet {
	return &Fleet{Boot: b, net: relay.New(), Check: check.New(), book: &caller.Book{}, ledger: &endpoint.Ledger{}, began: time.Now(),
		rng: rand.New(rand.NewPCG(b.Seed, 5)), left: map[ident.Server]time.Time{}, lost: map[ident.Server][]*outage{}, outs: map[string][]*outage{}, Counts: map[string]int{}}
}

// Up brings everything up.
func Up(b Boot) (*Fleet, error) {
	f := empty(b)
	var seeds, founders []string
	for i := range b.Deployment.Cores {
		m, err := f.machine("core", i)
		if err != nil {
			return nil, err
		}
		f.Cores = append(f.Cores, m)
		founders = append(founders, m.Addr)
		if i < 3 {
			seeds = append(seeds, m.Addr)
		}
	}
	for i, m := range f.Cores {
		if err := m.Write(map[string]any{"address": m.Addr, "listen": m.Inner, "district": f.district(i), "seeds": seeds, "founders": founders, "data": m.Data, "ringFileMiB": 12, "ringFiles": 4}); err != nil {
			return nil, err
		}
		if err := m.Start(); err != nil {
			return nil, err
		}
	}
	for i := range b.Deployment.Sides {
		m, err := f.machine("sidecar", i)
		if err != nil {
			return nil, err
		}
		f.Sides = append(f.Sides, m)
	}
	// Two cores and a sidecar of another district are a sidecar's seeds: when all cores
	// have moved, that sidecar still knows where to.
	for i, m := range f.Sides {
		near := []string{seeds[i%len(seeds)], seeds[(i+1)%len(seeds)], f.Sides[(i+1)%len(f.Sides)].Addr}
		if err := m.Write(map[string]any{"address": m.Addr, "listen": m.Inner, "caller": m.Caller, "node": m.Name, "district": f.district(i), "seeds": slices.Compact(near), "stopS": 4}); err != nil {
			return nil, err
		}
		if err := m.Start(); err != nil {
			return nil, err
		}
	}
	for _, m := range f.Cores {
		if !m.Ready(15 * time.Second) {
			return f, errors.New(m.Name + " did not become ready")
		}
	}
	f.serve = newClients(f)
	if _, err := f.offer(f.manifest("mark-0"), "PUT", ""); err != nil {
		return f, err
	}
	for _, m := range f.Sides {
		if !m.Ready(15 * time.Second) {
			return f, errors.New(m.Name + " did not become ready")
		}
	}
	i := 0
	for _, s := range b.Deployment.Services {
		for range s.Endpoints {
			if _, err := f.endpoint(f.Sides[i%len(f.Sides)], s, ""); err != nil {
				return f, err
			}
			i++
		}
	}
	time.Sleep(700 * time.Millisecond)
	return f, nil
}

// machine prepares a machine with an IP of its own behind a relay.
func (f *Fleet) machine(role string, i int) (*machine.Machine, error) {
	net := map[string]int{"core": 21, "sidecar": 22}[role]
	bin := f.Bin
	if f.Old != "" {
		bin = f.Old
	}
	m := machine.New(bin, f.Dir, fmt.Sprintf("%s%d", role, i+1), role, fmt.Sprintf("127.0.%d.%d", net, i+1))
	var err error
	for _, p := range []*string{&m.Addr, &m.Inner, &m.Caller} {
		if *p, err = machine.Free(m.IP); err != nil {
			return nil, err
		}
	}
	return m, f.net.Open(m.Addr, m.Inner)
}

func (f *Fleet) district(i int) string { return fmt.Sprintf("d%d", i%f.Deployment.Districts) }

// Down ends everything that Up started.
func (f *Fleet) Down() {
	f.mu.Lock()
	ends := slices.Clone(f.ends)
	f.mu.Unlock()
	for _, e := range ends {
		e.Die()
	}
	for _, m := range append(slices.Clone(f.Sides), f.Cores...) {
		m.Thaw()
		m.Kill()
	}
	f.net.Close()
}

func (f *Fleet) endpoint(side *machine.Machine, svc plan.Service, addr string) (*end, error) {
	if addr == "" {
		var err error
		if addr, err = machine.Free(side.IP); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	f.serial++
	name := ident.Server(fmt.Sprintf("srv%d", f.serial))
	f.mu.Unlock()
	k := f.Deployment.Kinds[0]
	e, err := endpoint.Start(endpoint.Boot{Server: name, Service: svc.Name, Addr: ident.Addr(addr), Beat: ident.Addr(side.Inner), Ledger: f.ledger,
		Mood: endpoint.Mood{Work: 4 * time.Millisecond, Lose: 0.002, Garbage: 0.001, Cut: 0.001, Odd: 0.001, Long: 0.002}, Onward: ident.Addr(side.Caller), OnwardHost: k.Host, OnwardPath: k.Path})
	if err != nil {
		return nil, err
	}
	out := &end{Endpoint: e, side: side, svc: svc}
	f.mu.Lock()
	f.ends = append(f.ends, out)
	f.mu.Unlock()
	return out, nil
}

func (f *Fleet) manifest(mark string) map[string]any {
	services, ways := map[string]any{}, map[string]any{}
	for i, s := range f.Deployment.Services {
		ns := "steady"
		if i == 0 {
			ns = mark
		}
		services[string(s.Name)] = map[string]any{"namespace": ns}
		ways["w-"+string(s.Name)] = map[string]any{"host": s.Host, "pathStart": "/", "service": string(s.Name), "timeoutMs": 3000}
	}
	for _, k := range f.Deployment.Kinds {
		if k.Name == "card" {
			ways["card"] = map[string]any{"host": k.Host, "pathStart": k.Path, "service": string(k.Service), "urgent": true, "timeoutMs": 1500}
		}
	}
	return map[string]any{"services": services, "ways": ways}
}

// offer sends a manifest to some core and gives the epoch of a yes; an error with
// the text "no" is a sure no.
func (f *Fleet) offer(tree map[string]any, method, query string) (ident.Epoch, error) {
	raw, err := json.Marshal(tree)
	if err != nil {
		return 0, err
	}
	core := f.serve.core()
	var got struct {
		Epoch  ident.Epoch `json:"epoch"`
		Defect string      `json:"defect"`
		Fate   string      `json:"fate"`
	}
	code, err := core.Ask(6*time.Second, method, "/manifest"+query, bytes.NewReader(raw), &got)
	switch {
	case err != nil:
		return 0, err
	case code == 200:
		return got.Epoch, nil
	case got.Fate == "no":
		return 0, errNo
	}
	return 0, fmt.Errorf("status %d %s", code, got.Defect)
}

var errNo = errors.New("no")

// Drive runs the traffic, the clients, the operators and the faults, then judges.
func (f *Fleet) Drive() {
	ctx, stop := context.WithTimeout(context.Background(), f.For)
	defer stop()
	from := f.now()
	var out sync.WaitGroup
	for i, s := range f.Sides {
		out.Add(1)
		go func() {
			defer out.Done()
			caller.Run(ctx, caller.Boot{Name: s.Name, Addr: ident.Addr(s.Caller), Kinds: f.kinds(), Rate: f.Deployment.Rate * f.Scale / float64(len(f.Sides)),
				Book: f.book, Seed: f.Seed + uint64(i), Limit: 8 * time.Second})
		}()
	}
	f.serve.start(ctx, &out)
	out.Add(1)
	go func() { defer out.Done(); f.operate(ctx) }()
	out.Add(1)
	go func() { defer out.Done(); f.sample(ctx) }()
	f.faults(ctx)
	<-ctx.Done()
	until := f.now()
	if d, ok := ctx.Deadline(); ok {
		until = f.at(d)
	}
	f.net.Heal()
	out.Wait()
	f.open.Wait()
	f.judge(from, until)
}

func (f *Fleet) kinds() []caller.Kind {
	var out []caller.Kind
	for _, k := range f.Deployment.Kinds {
		out = append(out, caller.Kind{Name: k.Name, Method: k.Method, Host: k.Host, Path: k.Path, Service: k.Service, Weight: k.Weight})
	}
	return out
}

// Logs names the folder of boot files and logs.
func (f *Fleet) Logs() string { return f.Dir }
