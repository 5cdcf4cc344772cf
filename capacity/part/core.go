package part

import (
	"net"
	"net/http"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/daemon/assemble"
	coredaemon "cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// core is the real daemon behind the meter.
type core struct {
	daemon *coredaemon.Core
	srv    *http.Server
}

func (c *core) stop() { _ = c.srv.Close(); c.daemon.Close() }

// serve serves what a daemon's server would, over a counted listener.
func (p *part) serve(srv *http.Server, at string) (ident.Addr, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "listen")
	}
	srv.Handler = p.meter.Wrap(srv.Handler)
	go func() { _ = srv.Serve(p.meter.Listen(l)) }()
	return ident.Addr(l.Addr().String()), nil
}

func (p *part) startCore(o Order) (Answer, error) {
	c := o.Core
	if c == nil {
		return Answer{}, failure.New(failure.Invalid, "core needs its boot")
	}
	b := boot.Core{Addr: c.Addr, Listen: c.Addr, District: p.target.District(p.target.CoreSpot(c.Index)), Seeds: c.Seeds, Founders: c.Founders,
		Data: c.Data, Voters: len(c.Founders), RingFile: plan.RingBytes, Rings: plan.RingFiles}
	d, srv, err := assemble.Core(b, zap.NewNop())
	if err != nil {
		return Answer{}, err
	}
	if _, err := p.serve(srv.Server, string(c.Addr)); err != nil {
		return Answer{}, err
	}
	d.Start()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core = &core{d, srv.Server}
	return Answer{}, nil
}
