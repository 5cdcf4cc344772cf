package integration

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/settings"
)

// sidecarProcess is a running sidecar with its servers.
type sidecarProcess struct {
	*process
	clientAddr ident.Addr
}

func startSidecar(t *testing.T, seeds []ident.Addr, stopTimeout time.Duration) *sidecarProcess {
	addr, clientAddr := freeAddr(t), freeAddr(t)
	config := settings.Sidecar{
		Node:          ident.Node(addr),
		Addr:          addr,
		Listen:        addr,
		ClientAddr:    clientAddr,
		Zone:          "d0",
		Seeds:         seeds,
		Senders:       32,
		QueueCapacity: 64,
		MaxInFlight:   64,
		StopTimeout:   stopTimeout,
	}
	s, meshServer, clientServer := daemon.Sidecar(config, zap.NewNop())
	stopServers, kill := startServers(t, meshServer, clientServer)
	s.Start()
	closeOnce := sync.OnceFunc(s.Close)
	stop := func() {
		s.Leave()
		stopServers()
		closeOnce()
	}
	return &sidecarProcess{
		process:    &process{addr: addr, stop: stop, kill: func() { kill(); closeOnce() }},
		clientAddr: clientAddr,
	}
}
