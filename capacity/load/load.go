// Package load puts a running mesh under one kind of load after the other and notes what
// each costs.
package load

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/part"
	"cottonarch.example/cottonarch/capacity/rig"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/mesh/gate"
)

// Point is what one load cost at one size. A value's name is role, duty and unit with
// strokes between: core/leases/messages a second. Invariant: values of a load that is an
// event are what it cost above the steady beats.
type Point struct {
	Nodes  int                `json:"nodes"`
	Load   string             `json:"load"`
	Values map[string]float64 `json:"values"`
	// Missing counts nodes that did not come to know in time.
	Missing int `json:"missing,omitempty"`
	// Busy is the part of this machine's processors that the mesh used meanwhile; above
	// Crowded, times are the machine's rather than the mesh's.
	Busy float64 `json:"busy"`
	// Machine is the part of all this machine's processors that anything used meanwhile:
	// high where Busy is low means that others worked here too.
	Machine float64 `json:"machine"`
	// Held is for how many seconds a process of the mesh did not run at most, though it
	// should have.
	Held float64 `json:"held,omitempty"`
}

// Crowded is the part of the machine above which times are left out of fits.
const Crowded = 0.85

// HeldMost is how many seconds a process may have been held up before times are left out.
const HeldMost = 0.5

// Clean tells whether times of this point are the mesh's own.
func (p Point) Clean() bool { return p.Busy <= Crowded && p.Held <= HeldMost }

// Names lists the loads in the order in which they run.
var Names = []string{"steady", "leave", "changes", "manifest", "restart", "zone", "apart", "start"}

var loads = map[string]func(*Run) error{
	"steady": (*Run).steady, "leave": (*Run).leave, "changes": (*Run).changes, "manifest": (*Run).manifest,
	"restart": (*Run).restart, "zone": (*Run).zone, "apart": (*Run).apart, "start": (*Run).start,
}

// Known tells whether there is such a load.
func Known(name string) bool { return loads[name] != nil }

// Run is one size's measuring.
type Run struct {
	*rig.Rig
	For    time.Duration // the window of steady beats, and how long regions are apart
	Most   time.Duration // of any one wait
	Until  time.Time     // when the measuring is over; a wait does not go on beyond it
	Points []Point
	base   rates
	serial int
}

// rates is what the mesh costs a second while nothing happens.
type rates struct {
	known                       bool
	cores, worst, node, hollow  float64 // processor seconds
	messages, coreBytes, nodeBs float64
}

// least is how long a wait may always take, so that what has begun can end.
const least = 5 * time.Second

func (r *Run) limit() time.Duration { return max(least, min(r.Most, time.Until(r.Until))) }

// All runs the loads; steady comes first whether it is named or not. It ends early, with
// what it has, once Until has passed.
func (r *Run) All(names []string) error {
	if err := r.settle(); err != nil {
		return err
	}
	if !slices.Contains(names, "steady") {
		names = append([]string{"steady"}, names...)
	}
	for _, name := range Names {
		if !slices.Contains(names, name) || r.base.known && time.Now().After(r.Until) {
			continue
		}
		if err := loads[name](r); err != nil {
			return failure.Wrap(err, failure.Internal, "load "+name)
		}
	}
	return nil
}

// settle waits until every node is ready and knows every endpoint.
func (r *Run) settle() error {
	_, missing, _, err := r.Await(part.Want{Ready: true, Servers: r.Servers()}, r.limit()).Times()
	if err == nil && missing > 0 {
		err = failure.New(failure.Late, "%d of %d nodes did not come to know every endpoint in %v; their counters: %s", missing, r.N, r.limit(), r.failures())
	}
	return err
}

// failures sums what nodes and cores counted as failed.
func (r *Run) failures() string {
	got, err := r.Read()
	if err != nil {
		return err.Error()
	}
	sum := map[string]int64{}
	for _, a := range append(append(got.Cores, got.Packs...), got.Alone) {
		for n, v := range a.Board {
			if v > 0 && (n == "claims" || strings.HasSuffix(n, "_failed") || strings.HasSuffix(n, "turned_away")) {
				sum[n] += v
			}
		}
	}
	out := []string{}
	for _, n := range slices.Sorted(maps.Keys(sum)) {
		out = append(out, fmt.Sprintf("%s %d", n, sum[n]))
	}
	return strings.Join(out, ", ")
}

// took is what passed between two looks.
type took struct {
	span          float64 // seconds
	paths         map[string]meter.Count
	cores         []float64 // processor seconds by core
	nodes         []float64 // by process that holds nodes, the whole node's first
	node, hollow  float64
	nodeB, beatsB float64 // bytes of the whole node, with the mesh and with its endpoint
	coreB         meter.Count
	busy, machine float64
	board         map[string]int64
}

func (r *Run) took(a, b rig.Reading) took {
	t := took{span: float64(b.At-a.At) / 1e9, board: map[string]int64{}}
	ip, all := r.Target.NodeIP(0), 0.0
	for i := range b.Cores {
		t.paths = meter.Sum(t.paths, meter.Sub(b.Cores[i].Paths, a.Cores[i].Paths))
		peers := meter.Sub(b.Cores[i].Peers, a.Cores[i].Peers)
		for _, c := range peers {
			t.coreB = t.coreB.Add(c)
		}
		t.nodeB += float64(peers[ip].In + peers[ip].Out)
		cpu := b.Cores[i].Spent.Cores - a.Cores[i].Spent.Cores
		t.cores, all = append(t.cores, cpu), all+cpu
		for n, v := range b.Cores[i].Board {
			t.board[n] += v - a.Cores[i].Board[n]
		}
	}
	t.node = b.Alone.Spent.Cores - a.Alone.Spent.Cores
	t.nodes = []float64{t.node}
	for i := range b.Packs {
		c := meter.Sub(b.Packs[i].Peers, a.Packs[i].Peers)[ip]
		t.nodeB += float64(c.In + c.Out)
		cpu := b.Packs[i].Spent.Cores - a.Packs[i].Spent.Cores
		t.hollow, t.nodes = t.hollow+cpu, append(t.nodes, cpu)
	}
	for from, c := range meter.Sub(b.Alone.Peers, a.Alone.Peers) {
		if from == ip {
			t.beatsB += float64(c.In + c.Out)
		} else {
			t.nodeB += float64(c.In + c.Out)
		}
	}
	t.machine = meter.Used(a.Used, b.Used)
	t.busy = (all + t.hollow + t.node) / t.span / float64(runtime.GOMAXPROCS(0))
	return t
}

func (t took) sum() (s float64) {
	for _, c := range t.cores {
		s += c
	}
	return s
}

func (t took) messages() (n float64) {
	for _, c := range t.paths {
		n += float64(c.Messages)
	}
	return n
}

// looks is how often steady beats are looked at before the machine counts as unfit.
const looks = 4

func (r *Run) steady() error { return r.look(looks) }

func (r *Run) look(again int) error {
	a, err := r.Read()
	if err != nil {
		return err
	}
	cores, nodes, err := r.Profile(r.For)
	if err != nil {
		return err
	}
	b, err := r.Read()
	if err != nil {
		return err
	}
	t, k := r.took(a, b), float64(r.Target.Cores)
	if late := t.span - r.For.Seconds(); late > r.For.Seconds()/4+0.5 {
		// The machine stood still meanwhile: nothing can be told from this look.
		if again--; again > 0 {
			return r.look(again)
		}
		return failure.New(failure.Late, "a look of %v took %.1f s: the machine was held up", r.For, t.span)
	}
	r.base = rates{true, t.sum() / t.span, slices.Max(t.cores) / t.span, t.node / t.span, t.hollow / t.span, t.messages() / t.span, float64(t.coreB.In+t.coreB.Out) / t.span, t.nodeB / t.span}
	v := map[string]float64{
		"core/all/processor cores": t.sum() / t.span / k, "core/busiest/processor cores": slices.Max(t.cores) / t.span,
		"core/all/messages a second": t.messages() / t.span / k, "core/all/bytes a second": float64(t.coreB.In+t.coreB.Out) / t.span / k,
		"sidecar/all/processor cores": t.node / t.span, "sidecar/all/bytes a second": t.nodeB / t.span, "sidecar/its endpoint/bytes a second": t.beatsB / t.span,
		"sidecar/all/memory": b.Alone.Spent.Memory,
	}
	sent := 0.0
	for path, c := range t.paths {
		d := meter.Of(path).Duty
		v["core/"+d+"/messages a second"] += float64(c.Messages) / t.span / k
		v["core/"+d+"/body bytes a second"] += float64(c.In+c.Out) / t.span / k
		if path != "/cottonarch/v1/messages" {
			sent += float64(c.Messages)
		}
		if c.Failed > 0 {
			v["core/"+d+"/turned away a second"] += float64(c.Failed) / t.span / k
		}
	}
	v["sidecar/all/messages a second"] = sent / t.span / float64(r.N)
	if r.N > 1 {
		v["sidecar/hollow, mean/processor cores"] = t.hollow / t.span / float64(r.N-1)
	}
	for i, c := range cores {
		v["core/all/memory"] = max(v["core/all/memory"], b.Cores[i].Spent.Memory)
		for d, p := range c.Duties {
			v["core/"+d+"/processor cores"] += p * t.cores[i] / t.span / k
		}
	}
	// One node is too small to be told apart by samples: the parts are those of all nodes.
	sum, parts := 0.0, map[string]float64{}
	for i, a := range nodes {
		for d, p := range a.Duties {
			parts[d], sum = parts[d]+p*t.nodes[i], sum+p*t.nodes[i]
		}
	}
	for d, p := range parts {
		v["sidecar/"+d+"/processor cores"] = p / max(sum, 1e-9) * t.node / t.span
	}
	for _, n := range []string{"sweeps", "deeds", "rounds"} {
		v["core/"+n+"/a second"] = float64(t.board[n]) / t.span / k
	}
	r.Points = append(r.Points, Point{Nodes: r.N, Load: "steady", Values: v, Busy: t.busy, Machine: t.machine})
	return nil
}

// event measures one thing that happens: do brings it about and gives the moment from
// which time counts and how nodes come to know.
func (r *Run) event(name string, times int, do func() (at int64, k *rig.Know, err error)) error {
	v, p := map[string]float64{}, Point{Nodes: r.N, Load: name}
	for range times {
		a, err := r.Read()
		if err != nil {
			return err
		}
		at, k, err := do()
		if err != nil {
			return err
		}
		list, missing, held, err := k.Times()
		if err != nil {
			return err
		}
		<-time.After(500 * time.Millisecond) // what still follows belongs to it
		b, err := r.Read()
		if err != nil {
			return err
		}
		t, n := r.took(a, b), float64(times)
		p.Missing += missing
		p.Held = max(p.Held, held.Seconds())
		p.Busy, p.Machine = max(p.Busy, t.busy), max(p.Machine, t.machine)
		put := func(what string, x float64) { v[what] += max(0, x) / n }
		put("core/all/messages", (t.messages()-r.base.messages*t.span)/float64(r.Target.Cores))
		put("core/all/bytes", (float64(t.coreB.In+t.coreB.Out)-r.base.coreBytes*t.span)/float64(r.Target.Cores))
		put("core/all/processor seconds", (t.sum()-r.base.cores*t.span)/float64(r.Target.Cores))
		put("core/busiest/processor seconds", slices.Max(t.cores)-r.base.worst*t.span)
		put("sidecar/all/bytes", t.nodeB-r.base.nodeBs*t.span)
		put("sidecar/all/processor seconds", t.node-r.base.node*t.span)
		if missing > 0 || len(list) == 0 {
			continue // it has no time
		}
		for q, x := range map[string]float64{"half": 0.5, "99 in 100": 0.99, "all": 1} {
			i := max(0, int(math.Ceil(x*float64(len(list))))-1)
			put("mesh/known to "+q+"/seconds", float64(list[i]-at)/1e9)
		}
		// Here all nodes share a few processors, which a deployment's do not: what they
		// worked is taken off but for one node's.
		work := max(0, t.hollow+t.node-(r.base.hollow+r.base.node)*t.span)
		put("mesh/known to all, less the other nodes' work/seconds", float64(list[len(list)-1]-at)/1e9-work*float64(r.N-1)/float64(r.N)/float64(runtime.GOMAXPROCS(0)))
		for _, c := range b.Cores {
			v["core/all/memory at its peak"] = max(v["core/all/memory at its peak"], c.Spent.Peak)
		}
		v["sidecar/all/memory at its peak"] = max(v["sidecar/all/memory at its peak"], b.Alone.Spent.Peak)
	}
	if p.Missing > 0 {
		for n := range v {
			if strings.HasPrefix(n, "mesh/") {
				delete(v, n)
			}
		}
	}
	p.Values = v
	r.Points = append(r.Points, p)
	return nil
}

// renew puts nodes back to a fresh endpoint after a load that used theirs up.
func (r *Run) renew(nodes []int) error {
	if _, _, err := r.Stop(nodes); err != nil {
		return err
	}
	if _, _, err := r.Start(nodes); err != nil {
		return err
	}
	return r.settle()
}

func (r *Run) leave() error {
	if r.N < 2 {
		return nil
	}
	used, at := []int{}, r.N
	err := r.event("leave", min(3, r.N-1), func() (int64, *rig.Know, error) {
		at--
		used = append(used, at)
		k := r.Await(part.Want{Gone: r.Servers(at)}, r.limit())
		t, _, err := r.Beat([]int{at}, gate.Leaving)
		return t, k, err
	})
	if err != nil {
		return err
	}
	return r.renew(used)
}

func (r *Run) changes() error {
	return r.event("changes", 3, func() (int64, *rig.Know, error) {
		r.serial++
		return r.offer("PATCH", r.Target.Change(r.serial))
	})
}

func (r *Run) manifest() error {
	return r.event("manifest", 1, func() (int64, *rig.Know, error) {
		r.serial++
		return r.offer("PUT", r.Target.Manifest(r.serial))
	})
}

// offer counts from when the operator sent it.
func (r *Run) offer(method string, tree map[string]any) (int64, *rig.Know, error) {
	at := meter.Now()
	epoch, err := r.Offer(method, tree, r.limit())
	if err != nil {
		return 0, nil, err
	}
	return at, r.Await(part.Want{Epoch: epoch}, r.limit()), nil
}

// some is the part of the nodes that the target restarts in a day, hollow ones only.
func (r *Run) some() []int {
	n := int(math.Round(float64(r.Target.RestartsDay) * float64(r.N) / float64(r.Target.Nodes)))
	list := []int{}
	for i := 1; i < r.N && len(list) < max(1, n); i++ {
		list = append(list, i)
	}
	return list
}

func (r *Run) restart() error {
	list := r.some()
	if len(list) == 0 {
		return nil
	}
	return r.event("restart", 1, func() (int64, *rig.Know, error) {
		at, _, err := r.Stop(list)
		if err != nil {
			return 0, nil, err
		}
		_, fresh, err := r.Start(list)
		return at, r.Await(part.Want{Ready: true, Servers: fresh}, r.limit()), err
	})
}

// zone is the nodes of one district: the last of the first region, which has no core as
// long as there are fewer cores than districts.
func (r *Run) zone() error {
	var list []int
	each := r.Target.Districts / r.Target.Regions
	for i := 1; i < r.N; i++ {
		if i%r.Target.Districts == each-1 {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return nil
	}
	if err := r.event("zone lost", 1, func() (int64, *rig.Know, error) {
		gone := r.Servers(list...)
		at, _, err := r.Stop(list)
		return at, r.Await(part.Want{Gone: gone}, r.limit()), err
	}); err != nil {
		return err
	}
	return r.event("zone back", 1, func() (int64, *rig.Know, error) {
		at, fresh, err := r.Start(list)
		return at, r.Await(part.Want{Ready: true, Servers: fresh}, r.limit()), err
	})
}

// start lets every node but the whole one start anew at the same moment.
func (r *Run) start() error {
	list := []int{}
	for i := 1; i < r.N; i++ {
		list = append(list, i)
	}
	return r.event("start", 1, func() (int64, *rig.Know, error) {
		at, _, err := r.Stop(list)
		if err != nil {
			return 0, nil, err
		}
		_, fresh, err := r.Start(list)
		return at, r.Await(part.Want{Ready: true, Servers: fresh}, r.limit()), err
	})
}

// apart cuts the regions apart for a while, changes the manifest meanwhile on the side
// of the majority, joins them and counts from then.
func (r *Run) apart() error {
	if r.Target.Regions < 2 {
		return nil
	}
	return r.event("apart", 1, func() (int64, *rig.Know, error) {
		if _, err := r.Apart(true); err != nil {
			return 0, nil, err
		}
		<-time.After(r.For)
		r.serial++
		epoch, err := r.Offer("PATCH", r.Target.Change(r.serial), r.limit())
		at, e := r.Apart(false)
		if err == nil {
			err = e
		}
		return at, r.Await(part.Want{Epoch: epoch, Ready: true, Servers: r.Servers()}, r.limit()), err
	})
}
