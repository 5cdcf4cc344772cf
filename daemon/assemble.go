// Package daemon puts a daemon and its outer surfaces together.
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

// silenceTimeout is how long the other end of a connection may leave bytes unanswered before it
// is given up.
const silenceTimeout = 3 * time.Second

// Core opens a core on its data folder.
func Core(options settings.Core, log *zap.Logger) (*core.Core, *server.Server, error) {
	folder, err := ring.OpenDir(options.Data)
	if err != nil {
		return nil, nil, err
	}
	c, srv, err := CoreOnFolder(options, log, folder)
	if err != nil {
		_ = folder.Close()
	}
	return c, srv, err
}

// CoreOnFolder opens a core on any folder.
func CoreOnFolder(options settings.Core, log *zap.Logger, folder core.Folder) (*core.Core, *server.Server, error) {
	c, err := core.Open(options, log, folder)
	if err != nil {
		return nil, nil, err
	}
	srv := server.New(options.Listen, nil)
	for _, paths := range []server.Paths{operator.Paths(c), coordination.Paths(c), mesh.Paths(c, ident.NewID()),
		health.Paths(c.Ready, c.Metrics, func() any { return c.View() })} {
		paths.Register(srv)
	}
	return c, srv, nil
}

// Sidecar makes a sidecar with its server towards the mesh and that for callers.
func Sidecar(options settings.Sidecar, log *zap.Logger) (s *sidecar.Sidecar, meshServer, clientServer *server.Server) {
	s = sidecar.New(options, log)
	meshServer = server.New(options.Listen, s.ServePeer, server.DeadPeerTimeout(silenceTimeout), server.WithoutCloseDetection())
	s.Paths().Register(meshServer)
	health.Paths(s.Ready, s.Metrics, s.Status).Register(meshServer)
	return s, meshServer, server.New(options.ClientAddr, s.HandleCaller, server.DeadPeerTimeout(silenceTimeout), server.WithoutCloseDetection())
}
