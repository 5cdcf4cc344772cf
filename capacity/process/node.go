package process

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/daemon/sidecar"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/settings"
)

// node is a real sidecar daemon with its listener towards the mesh and one endpoint that
// beats and takes no calls. A hollow one shares its process with others, has a single
// sender and no listener for callers; its endpoint's beats are handed over without a
// connection. A whole one has all that, and its endpoint beats over the wire.
type node struct {
	index           int
	sidecar         *sidecar.Sidecar
	servers         []*http.Server
	addr            ident.Addr
	endpoint        Endpoint
	clientAddr      ident.Addr
	heartbeat       atomic.Pointer[endpoint.Heartbeat]
	extraHeartbeats []endpoint.Heartbeat
	closed          chan struct{}
}

const (
	defaultSenders, defaultQueue, defaultInFlight = 256, 512, 512 // what a boot file gives that names none
	pollInterval                                  = 5 * time.Millisecond
)

// freeAddr finds a free port of an address. Another may take it before it is bound; then the
// start says so.
func freeAddr(ip string) (ident.Addr, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "port")
	}
	defer func() { _ = listener.Close() }()
	return ident.Addr(listener.Addr().String()), nil
}

func (w *worker) launchNode(index int, incarnation string) (*node, error) {
	ip := w.target.NodeIP(index)
	addr, err := freeAddr(ip)
	if err != nil {
		return nil, err
	}
	clientAddr, err := freeAddr(ip)
	if err != nil {
		return nil, err
	}
	seeds := make([]ident.Addr, 0, 3)
	for k := range min(3, len(w.seeds)) {
		seeds = append(seeds, w.seeds[(index+k)%len(w.seeds)])
	}
	sidecarSettings := settings.Sidecar{Node: ident.Node(fmt.Sprintf("node%05d", index)), Addr: addr, Listen: addr, ClientAddr: clientAddr, Zone: w.target.Zone(index), Seeds: seeds,
		Senders: 1, QueueCapacity: 1, MaxInFlight: 1, StopTimeout: time.Second}
	if w.fullNodes {
		sidecarSettings.Senders, sidecarSettings.QueueCapacity, sidecarSettings.MaxInFlight = defaultSenders, defaultQueue, defaultInFlight
	}
	sidecarDaemon, meshServer, clientServer := daemon.Sidecar(sidecarSettings, zap.NewNop())
	n := &node{index: index, sidecar: sidecarDaemon, addr: addr, clientAddr: clientAddr, closed: make(chan struct{}), endpoint: Endpoint{ID: ident.Server(fmt.Sprintf("srv%05d-%s", index, incarnation)), Service: w.target.Service(index)}}
	n.heartbeat.Store(&endpoint.Heartbeat{Server: n.endpoint.ID, Service: n.endpoint.Service, Addr: ident.Addr(ip + ":9"), State: endpoint.Alive, Weight: 1})
	for k := range w.extraEndpoints {
		n.extraHeartbeats = append(n.extraHeartbeats, endpoint.Heartbeat{Server: ident.Server(fmt.Sprintf("fill%05d-%05d", index, k)), Service: w.target.Service((index + k) % max(1, w.target.Services-1)),
			Addr: ident.Addr(fmt.Sprintf("%s:%d", ip, 1024+k)), State: endpoint.Alive, Weight: 1})
	}
	if _, err := w.serve(meshServer.Server, string(addr)); err != nil {
		return nil, err
	}
	n.servers = append(n.servers, meshServer.Server)
	if w.fullNodes {
		if _, err := w.serve(clientServer.Server, string(clientAddr)); err != nil {
			return nil, err
		}
		n.servers = append(n.servers, clientServer.Server)
	}
	sidecarDaemon.Start()
	if !w.fullNodes {
		go n.sendHeartbeats()
	}
	return n, nil
}

// sendHeartbeats is the hollow endpoint: it keeps to what endpoints are asked to keep to.
func (n *node) sendHeartbeats() {
	ticker := time.NewTicker(endpoint.HeartbeatInterval)
	defer ticker.Stop()
	for {
		_ = n.sidecar.Heartbeat(*n.heartbeat.Load())
		for _, extra := range n.extraHeartbeats {
			_ = n.sidecar.Heartbeat(extra)
		}
		select {
		case <-ticker.C:
		case <-n.closed:
			return
		}
	}
}

// stop ends a node at once, as a lost machine does.
func (n *node) stop() {
	close(n.closed)
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.sidecar.Close()
}

// startNodes starts nodes, or starts anew those that were stopped.
func (w *worker) startNodes(command Command) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(command.Seeds) > 0 {
		w.seeds, w.fullNodes, w.extraEndpoints = command.Seeds, command.Full, command.ExtraEndpoints
	}
	response := Response{StartedAt: meter.Now()}
	for _, i := range command.Nodes {
		if w.nodes[i] != nil {
			return response, failure.New(failure.Conflict, "node %d runs", i)
		}
		n, err := w.launchNode(i, ident.NewID()[:8])
		if err != nil {
			return response, err
		}
		w.nodes[i] = n
		response.Addrs, response.ClientAddrs, response.Endpoints = append(response.Addrs, n.addr), append(response.ClientAddrs, n.clientAddr), append(response.Endpoints, n.endpoint)
	}
	return response, nil
}

func (w *worker) stopNodes(command Command) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	response := Response{StartedAt: meter.Now()}
	for _, i := range command.Nodes {
		n := w.nodes[i]
		if n == nil {
			return response, failure.New(failure.NotFound, "node %d does not run", i)
		}
		delete(w.nodes, i)
		response.Endpoints = append(response.Endpoints, n.endpoint)
		go n.stop()
	}
	return response, nil
}

// setState changes what endpoints say, and says it at once.
func (w *worker) setState(command Command) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	response := Response{StartedAt: meter.Now()}
	for _, i := range command.Nodes {
		n := w.nodes[i]
		if n == nil {
			return response, failure.New(failure.NotFound, "node %d does not run", i)
		}
		heartbeat := *n.heartbeat.Load()
		heartbeat.State = command.State
		n.heartbeat.Store(&heartbeat)
		if fault := n.sidecar.Heartbeat(heartbeat); fault != nil {
			return response, fault
		}
		response.Endpoints = append(response.Endpoints, n.endpoint)
	}
	return response, nil
}

// satisfies tells whether a node knows all that is wanted; at keeps how far it got in the lists.
func (n *node) satisfies(condition Condition, progress *[2]int) bool {
	if condition.Ready && !n.sidecar.Ready() || n.sidecar.ConfigRevision() < condition.Revision {
		return false
	}
	for ; progress[0] < len(condition.Healthy); progress[0]++ {
		wanted := condition.Healthy[progress[0]]
		if entry, ok := n.sidecar.Lookup(wanted.Service, wanted.ID); !ok || entry.Lapsed || entry.Status != record.Healthy {
			return false
		}
	}
	for ; progress[1] < len(condition.Unhealthy); progress[1]++ {
		wanted := condition.Unhealthy[progress[1]]
		if entry, ok := n.sidecar.Lookup(wanted.Service, wanted.ID); ok && !entry.Lapsed && entry.Status == record.Healthy {
			return false
		}
	}
	return true
}

// await looks at this part's nodes until each knows what is wanted, at most o.For.
func (w *worker) await(command Command) (Response, error) {
	w.mu.Lock()
	waiting := map[*node]*[2]int{}
	for _, n := range w.nodes {
		waiting[n] = &[2]int{}
	}
	w.mu.Unlock()
	response := Response{}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastPoll := meter.Now()
	for deadline := lastPoll + int64(min(command.Duration, 2*time.Minute)); len(waiting) > 0 && meter.Now() < deadline; {
		response.MaxStall, lastPoll = max(response.MaxStall, time.Duration(meter.Now()-lastPoll)-pollInterval), meter.Now()
		for n, progress := range waiting {
			if n.satisfies(command.Condition, progress) {
				response.KnownAt = append(response.KnownAt, meter.Now())
				delete(waiting, n)
			}
		}
		select {
		case <-ticker.C:
		case <-w.closed:
			return response, nil
		}
	}
	response.Missing = len(waiting)
	return response, nil
}
