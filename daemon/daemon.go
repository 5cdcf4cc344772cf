// Package daemon assembles a core or a sidecar with the HTTP servers that it is reached by.
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

// deadPeerTimeout is how long the other end of a connection may leave bytes unacknowledged
// before the connection is closed.
const deadPeerTimeout = 3 * time.Second

// Core opens a core on its data folder, and makes the server that it is reached by. Neither is
// started yet.
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

// Sidecar makes a sidecar with its server towards the mesh and the one for clients. None of
// them is started yet.
func Sidecar(options settings.Sidecar, log *zap.Logger) (s *sidecar.Sidecar, meshServer, clientServer *server.Server) {
	warnDeprecated(log, options.DeprecatedKeys)
	s = sidecar.New(options, log)
	meshServer = server.New(options.Listen, s.ServePeer, server.DeadPeerTimeout(deadPeerTimeout), server.PolledCloseDetection())
	s.Paths().Register(meshServer)
	health.Paths(s.Ready, s.Metrics, s.Status).Register(meshServer)
	clientServer = server.New(options.ClientAddr, s.HandleCaller, server.DeadPeerTimeout(deadPeerTimeout), server.PolledCloseDetection())
	return s, meshServer, clientServer
}

// warnDeprecated logs the keys that the settings file gave under their old names.
func warnDeprecated(log *zap.Logger, keys []settings.DeprecatedKey) {
	for _, key := range keys {
		log.Warn("deprecated settings key", zap.String("key", key.Old), zap.String("use", key.New))
	}
}
