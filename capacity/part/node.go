package part

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/daemon/assemble"
	"cottonarch.example/cottonarch/daemon/sidecar"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// node is a real sidecar daemon with its listener towards the mesh and one endpoint that
// beats and takes no calls. A hollow one shares its process with others, has a single
// sender and no listener for callers; its endpoint's beats are handed over without a
// connection. A whole one has all that, and its endpoint beats over the wire.
type node struct {
	index  int
	side   *sidecar.Sidecar
	srv    []*http.Server
	addr   ident.Addr
	server Server
	caller ident.Addr
	beat   atomic.Pointer[gate.Beat]
	fill   []gate.Beat
	over   chan struct{}
}

const (
	senders, queue, hand = 256, 512, 512 // what a boot file gives that names none
	lookEvery            = 5 * time.Millisecond
)

// spot finds a free port of an address. Another may take it before it is bound; then the
// start says so.
func spot(ip string) (ident.Addr, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "port")
	}
	defer func() { _ = l.Close() }()
	return ident.Addr(l.Addr().String()), nil
}

func (p *part) launch(i int, run string) (*node, error) {
	ip := p.target.NodeIP(i)
	addr, err := spot(ip)
	if err != nil {
		return nil, err
	}
	caller, err := spot(ip)
	if err != nil {
		return nil, err
	}
	seeds := make([]ident.Addr, 0, 3)
	for k := range min(3, len(p.seeds)) {
		seeds = append(seeds, p.seeds[(i+k)%len(p.seeds)])
	}
	b := boot.Sidecar{Node: ident.Node(fmt.Sprintf("node%05d", i)), Addr: addr, Listen: addr, Caller: caller, District: p.target.District(i), Seeds: seeds,
		Senders: 1, Queue: 1, Hand: 1, Stop: time.Second}
	if p.whole {
		b.Senders, b.Queue, b.Hand = senders, queue, hand
	}
	side, near, front := assemble.Sidecar(b, zap.NewNop())
	n := &node{index: i, side: side, addr: addr, caller: caller, over: make(chan struct{}), server: Server{ID: ident.Server(fmt.Sprintf("srv%05d-%s", i, run)), Service: p.target.Service(i)}}
	n.beat.Store(&gate.Beat{Server: n.server.ID, Service: n.server.Service, Addr: ident.Addr(ip + ":9"), State: gate.Alive, Weight: 1})
	for k := range p.fill {
		n.fill = append(n.fill, gate.Beat{Server: ident.Server(fmt.Sprintf("fill%05d-%05d", i, k)), Service: p.target.Service((i + k) % max(1, p.target.Services-1)),
			Addr: ident.Addr(fmt.Sprintf("%s:%d", ip, 1024+k)), State: gate.Alive, Weight: 1})
	}
	if _, err := p.serve(near.Server, string(addr)); err != nil {
		return nil, err
	}
	n.srv = append(n.srv, near.Server)
	if p.whole {
		if _, err := p.serve(front.Server, string(caller)); err != nil {
			return nil, err
		}
		n.srv = append(n.srv, front.Server)
	}
	side.Start()
	if !p.whole {
		go n.beats()
	}
	return n, nil
}

// beats is the hollow endpoint: it keeps to what endpoints are asked to keep to.
func (n *node) beats() {
	t := time.NewTicker(gate.BeatEvery)
	defer t.Stop()
	for {
		_ = n.side.Beat(*n.beat.Load())
		for _, b := range n.fill {
			_ = n.side.Beat(b)
		}
		select {
		case <-t.C:
		case <-n.over:
			return
		}
	}
}

// stop ends a node at once, as a lost machine does.
func (n *node) stop() {
	close(n.over)
	for _, s := range n.srv {
		_ = s.Close()
	}
	n.side.Close()
}

// startNodes starts nodes, or starts anew those that were stopped.
func (p *part) startNodes(o Order) (Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(o.Seeds) > 0 {
		p.seeds, p.whole, p.fill = o.Seeds, o.Whole, o.Fill
	}
	a := Answer{At: meter.Now()}
	for _, i := range o.Nodes {
		if p.nodes[i] != nil {
			return a, failure.New(failure.Conflict, "node %d runs", i)
		}
		n, err := p.launch(i, ident.Mark()[:8])
		if err != nil {
			return a, err
		}
		p.nodes[i] = n
		a.Addrs, a.Callers, a.Servers = append(a.Addrs, n.addr), append(a.Callers, n.caller), append(a.Servers, n.server)
	}
	return a, nil
}

func (p *part) stopNodes(o Order) (Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := Answer{At: meter.Now()}
	for _, i := range o.Nodes {
		n := p.nodes[i]
		if n == nil {
			return a, failure.New(failure.Missing, "node %d does not run", i)
		}
		delete(p.nodes, i)
		a.Servers = append(a.Servers, n.server)
		go n.stop()
	}
	return a, nil
}

// beat changes what endpoints say, and says it at once.
func (p *part) beat(o Order) (Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := Answer{At: meter.Now()}
	for _, i := range o.Nodes {
		n := p.nodes[i]
		if n == nil {
			return a, failure.New(failure.Missing, "node %d does not run", i)
		}
		b := *n.beat.Load()
		b.State = o.State
		n.beat.Store(&b)
		if d := n.side.Beat(b); d != nil {
			return a, d
		}
		a.Servers = append(a.Servers, n.server)
	}
	return a, nil
}

// has tells whether a node knows all that is wanted; at keeps how far it got in the lists.
func (n *node) has(w Want, at *[2]int) bool {
	if w.Ready && !n.side.Ready() || n.side.Epoch() < w.Epoch {
		return false
	}
	for ; at[0] < len(w.Servers); at[0]++ {
		s := w.Servers[at[0]]
		if e, ok := n.side.Look(s.Service, s.ID); !ok || e.Lapsed || e.Status != record.Healthy {
			return false
		}
	}
	for ; at[1] < len(w.Gone); at[1]++ {
		s := w.Gone[at[1]]
		if e, ok := n.side.Look(s.Service, s.ID); ok && !e.Lapsed && e.Status == record.Healthy {
			return false
		}
	}
	return true
}

// await looks at this part's nodes until each knows what is wanted, at most o.For.
func (p *part) await(o Order) (Answer, error) {
	p.mu.Lock()
	open := map[*node]*[2]int{}
	for _, n := range p.nodes {
		open[n] = &[2]int{}
	}
	p.mu.Unlock()
	a := Answer{}
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	last := meter.Now()
	for until := last + int64(min(o.For, 2*time.Minute)); len(open) > 0 && meter.Now() < until; {
		a.Held, last = max(a.Held, time.Duration(meter.Now()-last)-lookEvery), meter.Now()
		for n, at := range open {
			if n.has(o.Want, at) {
				a.Times = append(a.Times, meter.Now())
				delete(open, n)
			}
		}
		select {
		case <-t.C:
		case <-p.over:
			return a, nil
		}
	}
	a.Missing = len(open)
	return a, nil
}
