package process

import (
	"net"
	"net/http"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/daemon"
	coredaemon "cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/settings"
)

// core is the real daemon behind the meter.
type core struct {
	daemon *coredaemon.Core
	server *http.Server
}

func (c *core) stop() { _ = c.server.Close(); c.daemon.Close() }

// serve serves what a daemon's server would, over a counted listener.
func (w *worker) serve(server *http.Server, addr string) (ident.Addr, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "listen")
	}
	server.Handler = w.meter.WrapHandler(server.Handler)
	go func() { _ = server.Serve(w.meter.WrapListener(listener)) }()
	return ident.Addr(listener.Addr().String()), nil
}

func (w *worker) startCore(command Command) (Response, error) {
	coreSettings := command.Core
	if coreSettings == nil {
		return Response{}, failure.New(failure.Invalid, "core needs its boot")
	}
	daemonSettings := settings.Core{Addr: coreSettings.Addr, Listen: coreSettings.Addr, Zone: w.target.Zone(w.target.CoreZone(coreSettings.Index)), Seeds: coreSettings.Seeds, Founders: coreSettings.Founders,
		Data: coreSettings.DataDir, Voters: len(coreSettings.Founders), RingFileBytes: plan.RingBytes, RingFiles: plan.RingFiles}
	coreDaemon, server, err := daemon.Core(daemonSettings, zap.NewNop())
	if err != nil {
		return Response{}, err
	}
	if _, err := w.serve(server.Server, string(coreSettings.Addr)); err != nil {
		return Response{}, err
	}
	coreDaemon.Start()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core = &core{coreDaemon, server.Server}
	return Response{}, nil
}
