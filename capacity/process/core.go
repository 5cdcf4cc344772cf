package process

import (
	"net/http"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/daemon"
	coredaemon "cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/settings"
)

// core is a production core daemon whose HTTP traffic is counted by the meter.
type core struct {
	daemon *coredaemon.Core
	server *http.Server
}

// stop closes the HTTP server and the daemon.
func (c *core) stop() {
	_ = c.server.Close()
	c.daemon.Close()
}

// startCore starts the core that the command describes.
func (w *worker) startCore(command Command) (Response, error) {
	requested := command.Core
	if requested == nil {
		return Response{}, failure.New(failure.Invalid, "command %q has no core settings", StartCore)
	}
	coreDaemon, server, err := daemon.Core(settings.Core{
		Addr:          requested.Addr,
		Listen:        requested.Addr,
		Zone:          w.target.Zone(w.target.CoreZone(requested.Index)),
		Seeds:         requested.Seeds,
		Founders:      requested.Founders,
		Data:          requested.DataDir,
		Voters:        len(requested.Founders),
		RingFileBytes: plan.RingBytes,
		RingFiles:     plan.RingFiles,
	}, zap.NewNop())
	if err != nil {
		return Response{}, err
	}
	if err := w.serve(server.Server, requested.Addr); err != nil {
		return Response{}, err
	}
	coreDaemon.Start()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core = &core{coreDaemon, server.Server}
	return Response{}, nil
}
