package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/part"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/gate"
)

// Rig is a running mesh. Node 0 is whole and alone in its process; the others are hollow.
type Rig struct {
	Target plan.Target
	N      int // nodes
	dir    string
	cores  []*child
	addrs  []ident.Addr // of the cores
	alone  *child       // node 0
	packs  []*child
	Wholes []Spot   // of the whole nodes
	of     []*child // by node
	client *http.Client
	beats  chan struct{}
	beater sync.WaitGroup
	serial int
	ends   map[int]part.Server // by node, of its newest run
}

// Spot is where a node is reached.
type Spot struct{ Addr, Caller ident.Addr }

// Boot is what a rig needs: the command that runs a part, and a folder for disks.
type Boot struct {
	Self     []string
	Dir      string
	Target   plan.Target
	N        int
	Whole    int           // nodes that are whole and alone in their process, the first ones; 1 if not given
	Patience time.Duration // that nodes which start together may take to be ready
	Quiet    bool          // the endpoints of whole nodes do not beat
	Fill     int           // further endpoints that each hollow node stands in for
}

const wait = 90 * time.Second

// Up brings a mesh of n nodes up, in waves; each node has then been let in and has the
// manifest in force.
func Up(b Boot) (r *Rig, err error) {
	r = &Rig{Target: b.Target, N: b.N, beats: make(chan struct{}), ends: map[int]part.Server{}, client: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	defer func() {
		if err != nil {
			r.Down()
		}
	}()
	if r.dir, err = os.MkdirTemp(b.Dir, "capacity"); err != nil {
		return r, failure.Wrap(err, failure.Internal, "folder")
	}
	begin := func() (*child, error) {
		c, err := launch(b.Self)
		if err != nil {
			return nil, err
		}
		_, err = c.wait(c.send(part.Order{Do: "begin", Target: &b.Target}), wait)
		return c, err
	}
	for i := range b.Target.Cores {
		l, err := net.Listen("tcp", b.Target.CoreIP(i)+":0")
		if err != nil {
			return r, failure.Wrap(err, failure.Internal, "port")
		}
		r.addrs = append(r.addrs, ident.Addr(l.Addr().String()))
		_ = l.Close()
	}
	for i := range b.Target.Cores {
		c, err := begin()
		if c != nil {
			r.cores = append(r.cores, c)
		}
		if err != nil {
			return r, err
		}
		boot := part.CoreBoot{Index: i, Addr: r.addrs[i], Seeds: r.addrs[:min(3, len(r.addrs))], Founders: r.addrs, Data: filepath.Join(r.dir, fmt.Sprint("core", i))}
		if _, err := c.wait(c.send(part.Order{Do: "core", Core: &boot}), wait); err != nil {
			return r, err
		}
	}
	if err := r.offer("PUT", b.Target.Manifest(0), wait); err != nil {
		return r, err
	}
	for at := 0; at < b.N; {
		c, err := begin()
		if c != nil {
			if at == 0 {
				r.alone = c
			} else {
				r.packs = append(r.packs, c)
			}
		}
		if err != nil {
			return r, err
		}
		many := min(b.N-at, b.Target.NodesAProcess)
		whole := at < max(1, b.Whole)
		if whole {
			many = 1
		}
		list := make([]int, many)
		for k := range list {
			list[k] = at + k
			r.of = append(r.of, c)
		}
		// Nodes come in waves: what many at once cost is a load of its own.
		for rest := list; len(rest) > 0; {
			wave := rest[:min(len(rest), b.Target.NodesAWave)]
			rest = rest[len(wave):]
			a, err := c.wait(c.send(part.Order{Do: "nodes", Nodes: wave, Seeds: r.addrs, Whole: whole, Fill: b.Fill}), wait)
			if err != nil {
				return r, err
			}
			for k, i := range wave {
				r.ends[i] = a.Servers[k]
			}
			if whole {
				r.Wholes = append(r.Wholes, Spot{a.Addrs[0], a.Callers[0]})
			}
			if whole && !b.Quiet {
				r.Beats(a.Addrs[0], []gate.Beat{alive(a.Servers[0], ident.Addr(b.Target.NodeIP(at)+":9"))})
			}
			at += len(wave)
			if w, err := c.wait(c.send(part.Order{Do: "await", Want: part.Want{Ready: true}, For: b.Patience}), b.Patience+wait); err != nil || w.Missing > 0 {
				return r, failure.New(failure.Late, "%d of %d nodes, which come %d at a time, were not ready in %v (%v)", w.Missing, at, b.Target.NodesAWave, b.Patience, err)
			}
		}
	}
	return r, nil
}

// Parts counts the processes.
func (r *Rig) Parts() int { return len(r.cores) + len(r.packs) + 1 }

func alive(s part.Server, at ident.Addr) gate.Beat {
	return gate.Beat{Server: s.ID, Service: s.Service, Addr: at, State: gate.Alive, Weight: 1}
}

// Beats keeps endpoints of one node beating over the wire, from the node's own address,
// until Down.
func (r *Rig) Beats(to ident.Addr, list []gate.Beat) {
	r.beater.Add(1)
	go func() {
		defer r.beater.Done()
		trip := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second, LocalAddr: to.From()}).DialContext}
		defer trip.CloseIdleConnections()
		c := &http.Client{Transport: trip, Timeout: time.Second}
		t := time.NewTicker(gate.BeatEvery)
		defer t.Stop()
		for {
			for _, b := range list {
				raw, _ := json.Marshal(b)
				if res, err := c.Post("http://"+string(to)+"/beat", "application/json", bytes.NewReader(raw)); err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			}
			select {
			case <-t.C:
			case <-r.beats:
				return
			}
		}
	}()
}

// offer sends a manifest to a core of the first region until it is taken, at most limit.
func (r *Rig) offer(method string, tree map[string]any, limit time.Duration) error {
	_, err := r.Offer(method, tree, limit)
	return err
}

// Offer gives the epoch of a yes.
func (r *Rig) Offer(method string, tree map[string]any, limit time.Duration) (ident.Epoch, error) {
	raw, err := json.Marshal(tree)
	if err != nil {
		return 0, failure.Wrap(err, failure.Malformed, "manifest")
	}
	r.serial++
	key, last := fmt.Sprintf("capacity-%d", r.serial), error(nil)
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for until := time.Now().Add(limit); time.Now().Before(until); <-t.C {
		req, err := http.NewRequest(method, "http://"+string(r.addrs[0])+"/manifest", bytes.NewReader(raw))
		if err != nil {
			return 0, failure.Wrap(err, failure.Malformed, "manifest")
		}
		req.Header.Set("Idempotency-Key", key)
		res, err := r.client.Do(req)
		if err != nil {
			last = err
			continue
		}
		text, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		var got struct {
			Epoch ident.Epoch `json:"epoch"`
		}
		if res.StatusCode == http.StatusOK && json.Unmarshal(text, &got) == nil {
			return got.Epoch, nil
		}
		last = failure.New(failure.BadResponse, "status %d: %.200s", res.StatusCode, text)
		if res.StatusCode == 400 || res.StatusCode == 422 || res.StatusCode == 413 {
			break
		}
	}
	return 0, failure.Wrap(last, failure.Late, "no core took the manifest")
}

// all gives one order to many parts at once.
func all(list []*child, o part.Order, limit time.Duration) ([]part.Answer, error) {
	chans := make([]<-chan part.Answer, len(list))
	for i, c := range list {
		chans[i] = c.send(o)
	}
	out := make([]part.Answer, len(list))
	var bad error
	for i, c := range list {
		var err error
		if out[i], err = c.wait(chans[i], limit); err != nil && bad == nil {
			bad = err
		}
	}
	return out, bad
}

func (r *Rig) nodeParts() []*child {
	if r.alone == nil {
		return r.packs
	}
	return append([]*child{r.alone}, r.packs...)
}

// Know is a wait for all nodes that has begun.
type Know struct {
	r     *Rig
	chans []<-chan part.Answer
	limit time.Duration
}

// Await begins to wait until every node that runs now knows what is wanted.
func (r *Rig) Await(w part.Want, limit time.Duration) *Know {
	k := &Know{r: r, limit: limit}
	for _, c := range r.nodeParts() {
		k.chans = append(k.chans, c.send(part.Order{Do: "await", Want: w, For: limit}))
	}
	return k
}

// Times gives when each node came to know, in order, as readings of meter.Now, how many
// did not, and for how long the waiting processes were held up at most.
func (k *Know) Times() (times []int64, missing int, held time.Duration, err error) {
	for i, c := range k.r.nodeParts() {
		a, e := c.wait(k.chans[i], k.limit+10*time.Second)
		if e != nil {
			return times, missing, held, e
		}
		times, missing, held = append(times, a.Times...), missing+a.Missing, max(held, a.Held)
	}
	slices.Sort(times)
	return times, missing, held, nil
}

// spread gives each part its share of a list of nodes.
func (r *Rig) spread(nodes []int, o part.Order) (at int64, servers []part.Server, err error) {
	by := map[*child][]int{}
	for _, i := range nodes {
		by[r.of[i]] = append(by[r.of[i]], i)
	}
	var list []*child
	var chans []<-chan part.Answer
	for _, c := range r.nodeParts() {
		if len(by[c]) > 0 {
			o.Nodes = by[c]
			list, chans = append(list, c), append(chans, c.send(o))
		}
	}
	for i, c := range list {
		a, e := c.wait(chans[i], wait)
		if e != nil {
			return at, servers, e
		}
		servers = append(servers, a.Servers...)
		for k, n := range by[c] {
			r.ends[n] = a.Servers[k]
		}
		if at == 0 || a.At < at {
			at = a.At
		}
	}
	return at, servers, nil
}

// Stop ends nodes at once; the servers are the endpoints that end with them.
func (r *Rig) Stop(nodes []int) (int64, []part.Server, error) {
	return r.spread(nodes, part.Order{Do: "stop"})
}

// Start starts nodes that were stopped, with endpoints of a new run.
func (r *Rig) Start(nodes []int) (int64, []part.Server, error) {
	return r.spread(nodes, part.Order{Do: "nodes"})
}

// Servers lists the endpoints of some nodes, of all if none is named.
func (r *Rig) Servers(nodes ...int) []part.Server {
	if len(nodes) == 0 {
		for i := range r.N {
			nodes = append(nodes, i)
		}
	}
	out := make([]part.Server, len(nodes))
	for k, i := range nodes {
		out[k] = r.ends[i]
	}
	return out
}

// Beat makes endpoints say something else.
func (r *Rig) Beat(nodes []int, s gate.State) (int64, []part.Server, error) {
	return r.spread(nodes, part.Order{Do: "beat", State: s})
}

// Apart cuts the regions apart or joins them.
func (r *Rig) Apart(on bool) (int64, error) {
	a, err := all(append(slices.Clone(r.cores), r.nodeParts()...), part.Order{Do: "apart", On: on}, wait)
	if err != nil {
		return 0, err
	}
	return a[len(a)-1].At, nil
}

// Reading is one look at all processes.
type Reading struct {
	At    int64
	Used  meter.Ticks
	Cores []part.Answer
	Alone part.Answer
	Packs []part.Answer
}

// Read looks at all.
func (r *Rig) Read() (out Reading, err error) {
	if out.Cores, err = all(r.cores, part.Order{Do: "read"}, wait); err != nil {
		return out, err
	}
	if out.Packs, err = all(r.nodeParts(), part.Order{Do: "read"}, wait); err != nil {
		return out, err
	}
	out.Alone, out.Packs, out.At = out.Packs[0], out.Packs[1:], meter.Now()
	out.Used = meter.Machine()
	return out, nil
}

// Profile watches all processes for a while and gives each duty's part: of each core, and
// of the processes that hold nodes, the whole node's first.
func (r *Rig) Profile(span time.Duration) (cores, nodes []part.Answer, err error) {
	got, err := all(append(slices.Clone(r.cores), r.nodeParts()...), part.Order{Do: "profile", For: span}, span+wait)
	if err != nil {
		return nil, nil, err
	}
	return got[:len(r.cores)], got[len(r.cores):], nil
}

// Down ends everything that Up started.
func (r *Rig) Down() {
	select {
	case <-r.beats:
	default:
		close(r.beats)
	}
	r.beater.Wait()
	var out sync.WaitGroup
	list := slices.Clone(r.cores)
	list = append(list, r.packs...)
	if r.alone != nil {
		list = append(list, r.alone)
	}
	for _, c := range list {
		out.Add(1)
		go func() { defer out.Done(); c.end() }()
	}
	out.Wait()
	r.client.CloseIdleConnections()
	_ = os.RemoveAll(r.dir)
}
