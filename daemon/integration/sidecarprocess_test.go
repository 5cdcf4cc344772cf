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

// sidecarProcess is a sidecar with its servers.
type sidecarProcess struct {
	*process
	callerAddr ident.Addr
}

func startSidecar(t *testing.T, seeds []ident.Addr, stopTimeout time.Duration) *sidecarProcess {
	addr, callerAddr := freeAddr(t), freeAddr(t)
	config := settings.Sidecar{
		Node:          ident.Node(addr),
		Addr:          addr,
		Listen:        addr,
		ClientAddr:    callerAddr,
		Zone:          "d0",
		Seeds:         seeds,
		Senders:       32,
		QueueCapacity: 64,
		MaxInFlight:   64,
		StopTimeout:   stopTimeout,
	}
	s, meshServer, callerServer := daemon.Sidecar(config, zap.NewNop())
	stopServers, kill := startServers(t, meshServer, callerServer)
	s.Start()
	closeOnce := sync.OnceFunc(s.Close)
	stop := func() {
		s.Leave()
		stopServers()
		closeOnce()
	}
	return &sidecarProcess{
		process:    &process{addr: addr, stop: stop, kill: func() { kill(); closeOnce() }},
		callerAddr: callerAddr,
	}
}
