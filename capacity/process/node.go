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
	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/daemon/sidecar"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/settings"
)

// Settings of a full node's sidecar: the defaults of a settings file.
const (
	defaultSenders  = 256
	defaultQueue    = 512
	defaultInFlight = 512
)

const (
	seedsPerNode       = 3
	sidecarStopTimeout = time.Second
	incarnationLength  = 8    // of the part of an id that tells a node's incarnations apart
	firstExtraPort     = 1024 // of the endpoints that a hollow node stands in for
)

// node is a real sidecar daemon with its listener towards the mesh and one endpoint that sends
// heartbeats and takes no calls. A hollow node shares its process with others, has a single
// sender and no listener for clients; its endpoints' heartbeats are handed to the sidecar
// without a connection. A full node has many senders and that listener, and its endpoint sends over
// the wire.
type node struct {
	sidecar         *sidecar.Sidecar
	servers         []*http.Server
	addr            ident.Addr
	clientAddr      ident.Addr
	endpoint        Endpoint
	heartbeat       atomic.Pointer[endpoint.Heartbeat]
	extraHeartbeats []endpoint.Heartbeat
	closed          chan struct{}
}

// Listen listens on a free port of an IP.
func Listen(ip string) (net.Listener, error) {
	listener, err := net.Listen("tcp", ip+":0")
	return listener, failure.Wrap(err, failure.Internal, "port")
}

// FreeAddr finds an address with a free port on an IP. Another process may take the port
// before it is bound; the start of what is to listen there then fails.
func FreeAddr(ip string) (ident.Addr, error) {
	listener, err := Listen(ip)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return ident.Addr(listener.Addr().String()), nil
}

// newNode makes the i-th node as a new incarnation, without its daemon. The caller holds mu.
func (w *worker) newNode(i int, incarnation string) (n *node, err error) {
	ip := w.target.NodeIP(i)
	n = &node{
		endpoint: Endpoint{ID: ident.Server(fmt.Sprintf("srv%05d-%s", i, incarnation)), Service: w.target.Service(i)},
		closed:   make(chan struct{}),
	}
	if n.addr, err = FreeAddr(ip); err != nil {
		return nil, err
	}
	if n.clientAddr, err = FreeAddr(ip); err != nil {
		return nil, err
	}
	ownHeartbeat := n.endpoint.AliveHeartbeat(DiscardAddr(ip))
	n.heartbeat.Store(&ownHeartbeat)
	for k := range w.extraEndpoints {
		extra := Endpoint{
			ID:      ident.Server(fmt.Sprintf("fill%05d-%05d", i, k)),
			Service: w.target.Service((i + k) % max(1, w.target.Services-1)),
		}
		addr := ident.Addr(fmt.Sprintf("%s:%d", ip, firstExtraPort+k))
		n.extraHeartbeats = append(n.extraHeartbeats, extra.AliveHeartbeat(addr))
	}
	return n, nil
}

// launchNode starts the i-th node as a new incarnation. The caller holds mu.
func (w *worker) launchNode(i int, incarnation string) (*node, error) {
	n, err := w.newNode(i, incarnation)
	if err != nil {
		return nil, err
	}
	sidecarDaemon, meshServer, clientServer := daemon.Sidecar(w.sidecarSettings(i, n), zap.NewNop())
	n.sidecar = sidecarDaemon
	if err := w.serve(meshServer.Server, n.addr); err != nil {
		return nil, err
	}
	n.servers = append(n.servers, meshServer.Server)
	if w.fullNodes {
		if err := w.serve(clientServer.Server, n.clientAddr); err != nil {
			_ = meshServer.Close()
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

// sidecarSettings is the settings of the i-th node's sidecar. The caller holds mu.
func (w *worker) sidecarSettings(i int, n *node) settings.Sidecar {
	seeds := make([]ident.Addr, 0, seedsPerNode)
	for k := range min(seedsPerNode, len(w.seeds)) {
		seeds = append(seeds, w.seeds[(i+k)%len(w.seeds)])
	}
	s := settings.Sidecar{
		Node:          ident.Node(fmt.Sprintf("node%05d", i)),
		Addr:          n.addr,
		Listen:        n.addr,
		ClientAddr:    n.clientAddr,
		Zone:          w.target.Zone(i),
		Seeds:         seeds,
		Senders:       1,
		QueueCapacity: 1,
		MaxInFlight:   1,
		StopTimeout:   sidecarStopTimeout,
	}
	if w.fullNodes {
		s.Senders, s.QueueCapacity, s.MaxInFlight = defaultSenders, defaultQueue, defaultInFlight
	}
	return s
}

// sendHeartbeats sends the heartbeats of a hollow node's endpoints, at the interval that endpoints
// must keep, until the node stops.
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

// stop ends a node at once, as the loss of its machine would.
func (n *node) stop() {
	close(n.closed)
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.sidecar.Close()
}

// startNodes starts nodes, or starts anew those that were stopped: a command without seeds
// keeps the options of the one before.
func (w *worker) startNodes(command Command) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(command.Seeds) > 0 {
		w.seeds, w.fullNodes, w.extraEndpoints = command.Seeds, command.Full, command.ExtraEndpoints
	}
	response := Response{StartedAt: meter.Now()}
	for _, i := range command.Nodes {
		if w.nodes[i] != nil {
			return response, failure.New(failure.Conflict, "node %d runs already", i)
		}
		n, err := w.launchNode(i, ident.NewID()[:incarnationLength])
		if err != nil {
			return response, err
		}
		w.nodes[i] = n
		response.Addrs = append(response.Addrs, n.addr)
		response.ClientAddrs = append(response.ClientAddrs, n.clientAddr)
		response.Endpoints = append(response.Endpoints, n.endpoint)
	}
	return response, nil
}

// forEachNode acts on each node that a command names and responds with the nodes' endpoints. The
// first node that does not run, or whose action fails, ends it.
func (w *worker) forEachNode(command Command, action func(i int, n *node) error) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	response := Response{StartedAt: meter.Now()}
	for _, i := range command.Nodes {
		n := w.nodes[i]
		if n == nil {
			return response, failure.New(failure.NotFound, "node %d does not run", i)
		}
		if err := action(i, n); err != nil {
			return response, err
		}
		response.Endpoints = append(response.Endpoints, n.endpoint)
	}
	return response, nil
}

// stopNodes ends nodes. It does not wait until their daemons have closed: worker.close does.
func (w *worker) stopNodes(command Command) (Response, error) {
	return w.forEachNode(command, func(i int, n *node) error {
		delete(w.nodes, i)
		w.stoppingNodes.Go(n.stop)
		return nil
	})
}

// setState changes the state that endpoints report, and reports it at once.
func (w *worker) setState(command Command) (Response, error) {
	return w.forEachNode(command, func(_ int, n *node) error {
		heartbeat := *n.heartbeat.Load()
		heartbeat.State = command.State
		n.heartbeat.Store(&heartbeat)
		if fail := n.sidecar.Heartbeat(heartbeat); fail != nil {
			return fail
		}
		return nil
	})
}
