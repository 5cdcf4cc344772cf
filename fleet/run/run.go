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
	"strings"
	"sync"
	"time"

	"cottonarch.example/cottonarch/fleet/machine"
	"cottonarch.example/cottonarch/fleet/relay"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/sim/plan"
	"cottonarch.example/cottonarch/stand/caller"
	"cottonarch.example/cottonarch/stand/endpoint"
)

// Boot describes a run.
type Boot struct {
	Bin        string
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

	mu      sync.Mutex
	ends    []*end
	serial  int
	left    map[ident.Server]time.Time // leaving confirmed
	excuse  map[string]time.Time       // machine: until when it is down, cut or frozen
	coreBad time.Time
	top     ident.Epoch
	Spread  []time.Duration // time until a confirmed epoch was in force on a node
	Counts  map[string]int
	stopped map[string]bool // machines that were only ever stopped as planned
	serve   *clients
}

type end struct {
	*endpoint.Endpoint
	side *machine.Machine
	svc  plan.Service
	gone bool
}

func (f *Fleet) at(t time.Time) moment.Moment { return moment.Moment(t.Sub(f.began)) }
func (f *Fleet) now() moment.Moment           { return f.at(time.Now()) }

func (f *Fleet) count(name string) { f.mu.Lock(); f.Counts[name]++; f.mu.Unlock() }

// Up brings everything up.
func Up(b Boot) (*Fleet, error) {
	f := &Fleet{Boot: b, net: relay.New(), Check: check.New(), book: &caller.Book{}, ledger: &endpoint.Ledger{}, began: time.Now(),
		rng: rand.New(rand.NewPCG(b.Seed, 5)), left: map[ident.Server]time.Time{}, excuse: map[string]time.Time{}, Counts: map[string]int{}, stopped: map[string]bool{}}
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
	m := machine.New(f.Bin, f.Dir, fmt.Sprintf("%s%d", role, i+1), role, fmt.Sprintf("127.0.%d.%d", net, i+1))
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
		Mood: endpoint.Mood{Work: 4 * time.Millisecond, Lose: 0.002, Garbage: 0.001, Cut: 0.001}, Onward: ident.Addr(side.Caller), OnwardHost: k.Host, OnwardPath: k.Path})
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
	f.judge(from, until)
}

func (f *Fleet) kinds() []caller.Kind {
	var out []caller.Kind
	for _, k := range f.Deployment.Kinds {
		out = append(out, caller.Kind{Name: k.Name, Method: k.Method, Host: k.Host, Path: k.Path, Service: k.Service, Weight: k.Weight})
	}
	return out
}

// operate offers a manifest every so often, sometimes two at once, sometimes wrong.
func (f *Fleet) operate(ctx context.Context) {
	t := time.NewTicker(f.Deployment.Manifests)
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		mark := fmt.Sprintf("mark-%d", n)
		tree, method, query, bad := f.manifest(mark), "PUT", "", false
		f.mu.Lock()
		top := f.top
		f.mu.Unlock()
		switch n % 6 {
		case 1:
			tree["ways"].(map[string]any)["bad"] = map[string]any{"host": "x", "service": "nobody"}
			bad = true
		case 2:
			name := string(f.Deployment.Services[0].Name)
			tree, method = map[string]any{"services": map[string]any{name: map[string]any{"namespace": mark}}}, "PATCH"
		case 3: // two at once on one base: one winner
			query = fmt.Sprintf("?baseEpoch=%d", top)
			wg.Add(1)
			go func() { defer wg.Done(); f.give(f.manifest(mark+"b"), "PUT", query, mark+"b", false) }()
		case 4:
			for i := range 3000 {
				tree["ways"].(map[string]any)[fmt.Sprintf("bulk-%d", i)] = map[string]any{"host": fmt.Sprintf("h%d.bulk", i), "service": string(f.Deployment.Services[0].Name)}
			}
		case 5:
			if top > 0 {
				query, bad = fmt.Sprintf("?baseEpoch=%d", top-1), true
			}
		}
		f.give(tree, method, query, mark, bad)
	}
}

func (f *Fleet) give(tree map[string]any, method, query, mark string, bad bool) {
	epoch, err := f.offer(tree, method, query)
	at := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Check.Seen["manifest-turned"]++
	switch {
	case err == nil:
		f.Counts["manifests confirmed"]++
		if bad {
			f.Check.Break(f.at(at), "manifest-turned", "%s was confirmed as epoch %d", mark, epoch)
		}
		if epoch <= f.top && f.Counts["epoch "+fmt.Sprint(epoch)] > 0 {
			f.Check.Break(f.at(at), "number-repeated", "epoch %d was given twice", epoch)
		}
		f.Counts["epoch "+fmt.Sprint(epoch)]++
		f.top = max(f.top, epoch)
		go f.inForce(epoch, at)
	case errors.Is(err, errNo):
		f.Counts["manifests refused"]++
		f.Check.TurnedAway(mark, "no")
	default:
		f.Counts["manifests unknown"]++
	}
}

// inForce measures when each sidecar has the epoch in force.
func (f *Fleet) inForce(epoch ident.Epoch, at time.Time) {
	for _, s := range f.Sides {
		go func() {
			for {
				var got struct {
					Epoch ident.Epoch `json:"manifest"`
				}
				_, err := s.Ask(500*time.Millisecond, "GET", "/status", nil, &got)
				now := time.Now()
				f.mu.Lock()
				excused := f.excuse[s.Name].After(at) || f.coreBad.After(at)
				if err == nil && got.Epoch >= epoch {
					f.Check.Seen["manifest-late"]++
					if !excused {
						f.Spread = append(f.Spread, now.Sub(at))
					}
					if now.Sub(at) > check.ManifestMax+200*time.Millisecond && !excused {
						f.Check.Break(f.at(now), "manifest-late", "%s had epoch %d only after %v", s.Name, epoch, now.Sub(at))
					}
					f.mu.Unlock()
					return
				}
				f.mu.Unlock()
				if now.Sub(at) > 20*time.Second {
					if !excused {
						f.mu.Lock()
						f.Check.Break(f.at(now), "manifest-late", "%s never had epoch %d", s.Name, epoch)
						f.mu.Unlock()
					}
					return
				}
				time.Sleep(15 * time.Millisecond)
			}
		}()
	}
}

// sample looks at every sidecar twice a second: the epoch in force must not fall
// back, and further tries are summed over all nodes.
func (f *Fleet) sample(ctx context.Context) {
	type sums struct{ calls, tries float64 }
	var hist []struct {
		at  time.Time
		sum map[string]sums
	}
	last := map[string]ident.Epoch{}
	seen, total := map[string]map[string]int64{}, map[string]sums{}
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, s := range f.Sides {
			var c map[string]int64
			if _, err := s.Ask(300*time.Millisecond, "GET", "/counters", nil, &c); err != nil {
				continue
			}
			if e := ident.Epoch(c["manifest_epoch"]); e > 0 {
				f.mu.Lock()
				f.Check.Seen["manifest-back"]++
				if e < last[s.Name] {
					f.Check.Break(f.now(), "manifest-back", "%s shows epoch %d after %d", s.Name, e, last[s.Name])
				}
				f.mu.Unlock()
				last[s.Name] = max(last[s.Name], e)
			}
			for name, n := range c {
				kind, svc, ok := strings.Cut(name, ".")
				if !ok || kind != "calls" && kind != "further_tries" {
					continue
				}
				old := seen[s.Name][name]
				if n < old {
					old = 0 // a new run of the sidecar
				}
				x := total[svc]
				if kind == "calls" {
					x.calls += float64(n - old)
				} else {
					x.tries += float64(n - old)
				}
				total[svc] = x
			}
			seen[s.Name] = c
		}
		now := struct {
			at  time.Time
			sum map[string]sums
		}{time.Now(), map[string]sums{}}
		for k, v := range total {
			now.sum[k] = v
		}
		hist = append(hist, now)
		for i := len(hist) - 1; i >= 0; i-- {
			if now.at.Sub(hist[i].at) < 10*time.Second {
				continue
			}
			for svc, x := range now.sum {
				old := hist[i].sum[svc]
				f.mu.Lock()
				f.Check.Seen["further-tries"]++
				// The window seen is up to a second longer than ten.
				if tries, calls := x.tries-old.tries, x.calls-old.calls; tries > 0.2*calls+60+6 {
					f.Check.Break(f.now(), "further-tries", "%.0f further tries at %s beside %.0f calls", tries, svc, calls)
				}
				f.mu.Unlock()
			}
			break
		}
	}
}

// judge fills the checkers from the books and the ledgers.
func (f *Fleet) judge(from, until moment.Moment) {
	asked := map[string]ident.Service{}
	unsafe := map[string]bool{}
	fates := map[caller.Fate]check.Fate{caller.Served: check.Served, caller.NotRun: check.NotRun, caller.Unknown: check.Unknown, caller.Dropped: check.Unknown, caller.Wrong: check.Unknown}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.book.All() {
		asked[t.ID], unsafe[t.ID] = t.Kind.Service, t.Kind.Method != "GET"
		f.Check.Calls = append(f.Check.Calls, &check.Call{ID: t.ID, Service: t.Kind.Service, Unsafe: t.Kind.Method != "GET", Began: f.at(t.Began), Ended: f.at(t.Began.Add(t.Took)), Fate: fates[t.Fate], Why: t.Note, Whole: true})
		f.Counts["calls "+string(t.Fate)]++
		var why struct {
			Defect string `json:"defect"`
		}
		if (t.Fate == caller.NotRun || t.Fate == caller.Unknown) && json.Unmarshal([]byte(t.Note), &why) == nil {
			f.Counts["  "+string(t.Fate)+" "+why.Defect]++
		}
		f.Check.Seen["dropped-in-stop"]++
		node, _, _ := strings.Cut(t.ID, "-")
		switch {
		case t.Fate == caller.Wrong:
			f.Check.Break(f.at(t.Began), "wrong-return", "%s got %d %.200s", t.ID, t.Code, t.Note)
		case t.Fate == caller.Dropped && f.stopped[node] && strings.Contains(t.Note, "connection refused"):
			f.Counts["came after the stop"]++ // never taken
		case t.Fate == caller.Dropped && (f.stopped[node] || !f.excuse[node].After(t.Began.Add(-10*time.Second))):
			f.Check.Break(f.at(t.Began), "dropped-in-stop", "%s was dropped: %s", t.ID, t.Note)
		}
	}
	first := f.Deployment.Kinds[0].Service
	for _, r := range f.ledger.All() {
		want, ok := asked[r.ID]
		if !ok && strings.HasSuffix(r.ID, "-on") {
			want, ok = first, true
			f.Counts["onward calls run"]++
		}
		if !ok {
			continue
		}
		var left moment.Moment
		if t, gone := f.left[r.Server]; gone {
			left = f.at(t)
		}
		f.Check.Ran(check.Run{ID: r.ID, Server: r.Server, Service: r.Service, Asked: want, At: f.at(r.At), LeftAt: left, Unsafe: unsafe[r.ID]})
		f.Counts["runs"]++
	}
	f.Check.Finish(from.Add(2*time.Second), until)
}

// Text is the report.
func (f *Fleet) Text() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	var names []string
	for n := range f.Counts {
		if !strings.HasPrefix(n, "epoch ") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&b, "%-24s %d\n", n, f.Counts[n])
	}
	if n := len(f.Spread); n > 0 {
		slices.Sort(f.Spread)
		fmt.Fprintf(&b, "in force after confirm   median %v, 99%% %v, most %v, of %d node epochs\n", f.Spread[n/2].Round(time.Millisecond), f.Spread[n*99/100].Round(time.Millisecond), f.Spread[n-1].Round(time.Millisecond), n)
	}
	took := map[caller.Fate][]time.Duration{}
	for _, t := range f.book.All() {
		took[t.Fate] = append(took[t.Fate], t.Took)
	}
	for _, fate := range []caller.Fate{caller.Served, caller.NotRun, caller.Unknown} {
		took := took[fate]
		n := len(took)
		if n == 0 {
			continue
		}
		slices.Sort(took)
		fmt.Fprintf(&b, "%-8s in              median %v, 99%% %v, most %v\n", fate, took[n/2].Round(100*time.Microsecond), took[n*99/100].Round(100*time.Microsecond), took[n-1].Round(time.Millisecond))
	}
	b.WriteString(f.Check.Text())
	for i, x := range f.Check.Breaches {
		if i >= 20 {
			break
		}
		fmt.Fprintf(&b, "breach at %.1fs: %s: %s\n", time.Duration(x.At).Seconds(), x.Rule, x.Note)
	}
	return b.String()
}

// Logs names the folder of boot files and logs.
func (f *Fleet) Logs() string { return f.Dir }
