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

// Settings of a full node's sidecar, equal to the defaults of a settings file.
const (
	defaultSenders  = 256
	defaultQueue    = 512
	defaultInFlight = 512
)

const (
	seedsPerNode       = 3
	sidecarStopTimeout = time.Second
	incarnationLength  = 8    // length of the part of an endpoint ID that distinguishes the incarnations of a node
	firstExtraPort     = 1024 // port of the first extra endpoint of a hollow node
)

// node is a production sidecar daemon with a listener for the mesh and one endpoint, which sends
// heartbeats and takes no calls.
//
// A hollow node shares its process with other nodes. The sidecar of a hollow node has a single sender
// and no listener for clients, and receives the heartbeats of the endpoints by function calls.
//
// The sidecar of a full node has the default number of senders and a listener for clients, and receives
// the heartbeats of the endpoint over the network.
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

// Listen opens a TCP listener on a free port of an IP address.
func Listen(ip string) (net.Listener, error) {
	listener, err := net.Listen("tcp", ip+":0")
	return listener, failure.Wrap(err, failure.Internal, "listen on a free port")
}

// FreeAddr finds a free port on an IP address. Another process may take the port before the caller
// binds the port; the caller's listener then fails to start.
func FreeAddr(ip string) (ident.Addr, error) {
	listener, err := Listen(ip)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return ident.Addr(listener.Addr().String()), nil
}

// newNode creates a new incarnation of the i-th node, without its daemon. The caller holds w.mu.
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

// launchNode starts a new incarnation of the i-th node. The caller holds w.mu.
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

// sidecarSettings returns the settings of the i-th node's sidecar. The caller holds w.mu.
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

// sendHeartbeats sends the heartbeats of a hollow node's endpoints every endpoint.HeartbeatInterval
// until the node stops.
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

// stop stops the node abruptly, like the loss of its machine.
func (n *node) stop() {
	close(n.closed)
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.sidecar.Close()
}

// startNodes starts new nodes or restarts stopped nodes. A command without seeds keeps the options
// of the previous StartNodes command.
func (w *worker) startNodes(command Command) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(command.Seeds) > 0 {
		w.seeds, w.fullNodes, w.extraEndpoints = command.Seeds, command.Full, command.ExtraEndpoints
	}
	response := Response{StartedAt: meter.Now()}
	for _, i := range command.Nodes {
		if w.nodes[i] != nil {
			return response, failure.New(failure.Conflict, "node %d is already running", i)
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

// forEachNode runs the action on each node of the command and returns the endpoints of the nodes. The
// loop ends at the first node that is not running or whose action fails.
func (w *worker) forEachNode(command Command, action func(i int, n *node) error) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	response := Response{StartedAt: meter.Now()}
	for _, i := range command.Nodes {
		n := w.nodes[i]
		if n == nil {
			return response, failure.New(failure.NotFound, "node %d is not running", i)
		}
		if err := action(i, n); err != nil {
			return response, err
		}
		response.Endpoints = append(response.Endpoints, n.endpoint)
	}
	return response, nil
}

// stopNodes stops nodes in the background. Only worker.close waits until the daemons of the stopped
// nodes have closed.
func (w *worker) stopNodes(command Command) (Response, error) {
	return w.forEachNode(command, func(i int, n *node) error {
		delete(w.nodes, i)
		w.stoppingNodes.Go(n.stop)
		return nil
	})
}

// setState changes the state that the nodes' endpoints report, and sends a heartbeat with the new
// state immediately.
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
