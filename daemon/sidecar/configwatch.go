package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon/api/mesh"
)

const (
	// watchTimeout is how long a core holds a poll that it has nothing to answer to. Whether the
	// core is still there, the renewals tell.
	watchTimeout = 10 * time.Second
	// watchMargin is how much longer the response is waited for.
	watchMargin = 2 * time.Second
	// watchRetryPause is the pause after a poll that failed or brought nothing, and
	// noRegistrarPause the one while there is no core to poll.
	watchRetryPause  = 20 * time.Millisecond
	noRegistrarPause = 10 * time.Millisecond
)

// configWatch is the duty that keeps the copy of the registry and the configuration up to date,
// by long polls at the registrar.
type configWatch struct {
	sidecar *Sidecar
	// redirect breaks off the poll that is out: it brings the core that is to be polled, or that
	// knows a newer configuration.
	redirect chan ident.Addr
	resync   atomic.Bool // the registry was changed by a peer: the next poll asks for all of it
	polled   ident.Addr  // the core that is polled; Sidecar.mu guards it
}

// watchPosition is where in a core's feed the next poll goes on.
type watchPosition struct {
	core        ident.Addr
	instanceID  string // of the core's run to which feedVersion belongs
	feedVersion uint64
}

func newConfigWatch(s *Sidecar) *configWatch {
	return &configWatch{sidecar: s, redirect: make(chan ident.Addr, 1)}
}

// redirectTo makes the duty turn to a core.
func (d *configWatch) redirectTo(core ident.Addr) {
	select {
	case d.redirect <- core:
	default:
	}
}

// followRegistrar takes the answer of a core to a renewal: the duty turns to a new registrar, and
// a newer configuration is obtained. Sidecar.mu is held.
func (d *configWatch) followRegistrar(answered ident.Addr, revision ident.ConfigRevision) {
	s := d.sidecar
	registrar := s.lease.PollTarget()
	switch {
	case registrar != d.polled:
		d.redirectTo(registrar)
	case revision <= s.config.cache.NewestHeld(s.planner.Revision()):
	case answered != registrar:
		go s.fetchConfigOrCount(answered)
	default:
		d.redirectTo(answered)
	}
}

// run is the duty's loop.
func (d *configWatch) run() {
	s := d.sidecar
	var position watchPosition
	for !s.closed() {
		core, haveRevision := d.next()
		if !s.leaseHeld.Load() || core == "" {
			s.sleep(noRegistrarPause)
			continue
		}
		if resync := d.resync.Swap(false); resync || core != position.core {
			position = watchPosition{core: core}
		}
		update, redirected, err := d.poll(position, haveRevision)
		switch {
		case redirected:
		case err != nil:
			s.count(counterWatchesFailed)
			s.suspectRegistrar()
			s.sleep(watchRetryPause)
		default:
			position.instanceID, position.feedVersion = update.InstanceID, update.FeedVersion
			d.apply(core, update, haveRevision)
		}
	}
}

// next returns the core to poll now, and the revision of the newest configuration that is held.
func (d *configWatch) next() (core ident.Addr, haveRevision ident.ConfigRevision) {
	s := d.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	d.polled = s.lease.PollTarget()
	return d.polled, s.config.cache.NewestHeld(s.planner.Revision())
}

// poll asks a core for what changed after a position. redirected tells that it was broken off to
// poll anew.
func (d *configWatch) poll(position watchPosition, haveRevision ident.ConfigRevision) (update mesh.WatchResponse, redirected bool, err error) {
	s := d.sidecar
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout+watchMargin)
	defer cancel()
	finished, redirects := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-d.redirect:
			redirects <- true
			cancel()
			return
		case <-finished:
		case <-s.done:
			cancel()
		}
		redirects <- false
	}()
	err = s.apiClient.Call(ctx, position.core, http.MethodGet, watchPath(position, haveRevision), nil, &update)
	close(finished)
	redirected = <-redirects && err != nil
	return update, redirected, err
}

func watchPath(position watchPosition, haveRevision ident.ConfigRevision) string {
	query := url.Values{
		"mark":     {position.instanceID},
		"place":    {fmt.Sprint(position.feedVersion)},
		"manifest": {fmt.Sprint(uint64(haveRevision))},
		"waitMs":   {fmt.Sprint(watchTimeout.Milliseconds())},
	}
	return mesh.WatchPath + "?" + query.Encode()
}

// apply takes what a poll brought.
func (d *configWatch) apply(core ident.Addr, update mesh.WatchResponse, haveRevision ident.ConfigRevision) {
	s := d.sidecar
	s.mu.Lock()
	s.lastCoreContact = s.clock()
	if s.planner.Index.Merge(update.Sets) {
		s.count(counterRegistryChanges)
	}
	s.mu.Unlock()
	if update.ConfigRevision > haveRevision {
		d.obtainConfig(core, update)
	}
	if update.Leaving || update.Stale {
		s.suspectRegistrar()
		s.sleep(watchRetryPause)
	}
}

// obtainConfig gets the configuration that a poll tells of: by the delta that came with it, else
// by a fetch from the core.
func (d *configWatch) obtainConfig(core ident.Addr, update mesh.WatchResponse) {
	s := d.sidecar
	s.mu.Lock()
	s.config.cache.ObserveCore(s.clock(), update.ConfigRevision)
	s.mu.Unlock()
	if update.Delta != nil {
		if fail := s.applyDelta(*update.Delta); fail == nil {
			d.pauseIfBehind(update.ConfigRevision)
			return
		}
		s.count(counterDeltasRejected)
	}
	if !s.fetchConfigOrCount(core) {
		s.sleep(watchRetryPause)
		return
	}
	d.pauseIfBehind(update.ConfigRevision)
}

// pauseIfBehind keeps a core that is behind from being polled without a pause: its configuration
// is below what may become active here.
func (d *configWatch) pauseIfBehind(revision ident.ConfigRevision) {
	if revision < d.sidecar.minRevision() {
		d.sidecar.sleep(watchRetryPause)
	}
}
