// Package assemble puts a daemon and its outer surfaces together.
package assemble

import (
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/adapter/coordination"
	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/adapter/operator"
	"cottonarch.example/cottonarch/adapter/platform"
	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/daemon/sidecar"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/storage/ring"
	"cottonarch.example/cottonarch/wire/server"
)

// silence is how long the other end of a connection may leave bytes unanswered before it
// is given up.
const silence = 3 * time.Second

// Core opens a core on its data folder.
func Core(b boot.Core, log *zap.Logger) (*core.Core, *server.Server, error) {
	dir, err := ring.OpenDir(b.Data)
	if err != nil {
		return nil, nil, err
	}
	c, srv, err := CoreOn(b, log, dir)
	if err != nil {
		_ = dir.Close()
	}
	return c, srv, err
}

// CoreOn opens a core on any folder.
func CoreOn(b boot.Core, log *zap.Logger, dir core.Folder) (*core.Core, *server.Server, error) {
	c, err := core.Open(b, log, dir)
	if err != nil {
		return nil, nil, err
	}
	srv := server.New(b.Listen, nil)
	for _, p := range []server.Paths{operator.Paths(c), coordination.Paths(c), mesh.Paths(c, ident.Mark()),
		platform.Paths(c.Ready, c.Board, func() any { return c.View() })} {
		p.Register(srv)
	}
	return c, srv, nil
}

// Sidecar makes a sidecar with its server towards the mesh and that for callers.
func Sidecar(b boot.Sidecar, log *zap.Logger) (s *sidecar.Sidecar, near, front *server.Server) {
	s = sidecar.New(b, log)
	near = server.New(b.Listen, s.Gated, server.Silence(silence), server.Deaf())
	s.Paths().Register(near)
	platform.Paths(s.Ready, s.Board, s.Status).Register(near)
	return s, near, server.New(b.Caller, s.Front, server.Silence(silence), server.Deaf())
}
