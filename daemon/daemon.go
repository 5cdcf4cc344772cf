// Package daemon assembles a core or a sidecar with its HTTP servers.
package daemon

import (
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon/api/coordination"
	"cottonarch.example/cottonarch/daemon/api/health"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/daemon/api/operator"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/daemon/sidecar"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/storage/ring"
	"cottonarch.example/cottonarch/wire/server"
)

// deadPeerTimeout is how long sent bytes may remain unacknowledged by the peer before the connection
// is closed.
const deadPeerTimeout = 3 * time.Second

// Core opens a core with the data folder from the settings and creates the HTTP server of the core.
// The caller starts the core and the server.
func Core(options settings.Core, log *zap.Logger) (*core.Core, *server.Server, error) {
	folder, err := ring.OpenDiskFolder(options.Data)
	if err != nil {
		return nil, nil, err
	}
	c, srv, err := CoreWithFolder(options, log, folder)
	if err != nil {
		_ = folder.Close()
	}
	return c, srv, err
}

// CoreWithFolder is like Core, with a data folder supplied by the caller. Tests use CoreWithFolder to
// inject disk faults.
func CoreWithFolder(options settings.Core, log *zap.Logger, folder core.Folder) (*core.Core, *server.Server, error) {
	warnDeprecated(log, options.DeprecatedKeys)
	c, err := core.Open(options, log, folder)
	if err != nil {
		return nil, nil, err
	}
	srv := server.New(options.Listen, nil)
	status := func() any { return c.View() }
	for _, paths := range []server.Paths{
		operator.Paths(c),
		coordination.Paths(c),
		mesh.Paths(c, ident.NewID()),
		health.Paths(c.Ready, c.Metrics, status),
	} {
		paths.Register(srv)
	}
	return c, srv, nil
}

// Sidecar creates a sidecar, its server for cores and other sidecars, and its server for clients. The
// caller starts the sidecar and the servers.
func Sidecar(options settings.Sidecar, log *zap.Logger) (s *sidecar.Sidecar, meshServer, clientServer *server.Server) {
	warnDeprecated(log, options.DeprecatedKeys)
	s = sidecar.New(options, log)
	meshServer = server.New(options.Listen, s.ServePeer, server.DeadPeerTimeout(deadPeerTimeout), server.PolledCloseDetection())
	s.Paths().Register(meshServer)
	health.Paths(s.Ready, s.Metrics, s.Status).Register(meshServer)
	clientServer = server.New(options.ClientAddr, s.HandleCaller, server.DeadPeerTimeout(deadPeerTimeout), server.PolledCloseDetection())
	return s, meshServer, clientServer
}

// warnDeprecated logs a warning for each deprecated key in the settings file.
func warnDeprecated(log *zap.Logger, keys []settings.DeprecatedKey) {
	for _, key := range keys {
		log.Warn("deprecated settings key", zap.String("key", key.Old), zap.String("use", key.New))
	}
}
