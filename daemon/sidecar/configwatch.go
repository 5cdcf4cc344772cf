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
	// watchTimeout is how long a core holds a poll without changes to report. The renewals of the
	// lease, not the polls, detect a failed core.
	watchTimeout = 10 * time.Second
	// watchMargin is how much longer than watchTimeout the sidecar waits for the response.
	watchMargin = 2 * time.Second
	// watchRetryPause is the pause after a poll that failed or yielded nothing usable, and
	// noRegistrarPause is the pause between checks while there is no core to poll.
	watchRetryPause  = 20 * time.Millisecond
	noRegistrarPause = 10 * time.Millisecond
)

// configWatch is the background loop that keeps the registry copy and the configuration up to date
// through long polls at the registrar.
type configWatch struct {
	sidecar *Sidecar
	// redirect cancels the poll in progress. Its value is the core to poll, or the core that has a
	// newer configuration.
	redirect chan ident.Addr
	resync   atomic.Bool // a peer changed the registry copy: the next poll requests the whole registry
	polled   ident.Addr  // the core being polled; guarded by Sidecar.mu
}

// watchPosition is the position in a core's change feed at which the next poll continues.
type watchPosition struct {
	core        ident.Addr
	instanceID  string // identifies the process of the core that feedVersion belongs to
	feedVersion uint64
}

func newConfigWatch(s *Sidecar) *configWatch {
	return &configWatch{sidecar: s, redirect: make(chan ident.Addr, 1)}
}

// redirectTo cancels the poll in progress in favor of core, unless a redirect is already waiting.
func (w *configWatch) redirectTo(core ident.Addr) {
	select {
	case w.redirect <- core:
	default:
	}
}

// followRegistrar handles the revision and the registrar after a core's response to a renewal: the
// loop switches to a new registrar, and a newer configuration is fetched. The caller must hold
// Sidecar.mu.
func (w *configWatch) followRegistrar(answered ident.Addr, revision ident.ConfigRevision) {
	s := w.sidecar
	registrar := s.lease.PollTarget()
	switch {
	case registrar != w.polled:
		w.redirectTo(registrar)
	case revision <= s.config.cache.NewestHeld(s.planner.Revision()):
	case answered != registrar:
		go s.fetchConfigOrCount(answered)
	default:
		w.redirectTo(answered)
	}
}

// run polls the registrar until Close.
func (w *configWatch) run() {
	s := w.sidecar
	var position watchPosition
	for !s.closed() {
		core, haveRevision := w.nextPoll()
		if !s.leaseHeld.Load() || core == "" {
			s.sleep(noRegistrarPause)
			continue
		}
		if resync := w.resync.Swap(false); resync || core != position.core {
			position = watchPosition{core: core}
		}
		update, redirected, err := w.poll(position, haveRevision)
		switch {
		case redirected:
		case err != nil:
			s.count(counterWatchesFailed)
			s.suspectRegistrar()
			s.sleep(watchRetryPause)
		default:
			position.instanceID, position.feedVersion = update.InstanceID, update.FeedVersion
			w.apply(core, update, haveRevision)
		}
	}
}

// nextPoll returns the core to poll and the revision of the newest configuration held here.
func (w *configWatch) nextPoll() (core ident.Addr, haveRevision ident.ConfigRevision) {
	s := w.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	w.polled = s.lease.PollTarget()
	return w.polled, s.config.cache.NewestHeld(s.planner.Revision())
}

// poll requests the changes after a position from a core. redirected reports whether the poll was
// canceled in order to poll again.
func (w *configWatch) poll(position watchPosition, haveRevision ident.ConfigRevision) (update mesh.WatchResponse, redirected bool, err error) {
	s := w.sidecar
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout+watchMargin)
	defer cancel()
	finished, redirects := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-w.redirect:
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

// apply applies the response to a poll.
func (w *configWatch) apply(core ident.Addr, update mesh.WatchResponse, haveRevision ident.ConfigRevision) {
	s := w.sidecar
	s.mu.Lock()
	s.lastCoreContact = s.clock()
	if s.planner.Index.Merge(update.Sets) {
		s.count(counterRegistryChanges)
	}
	s.mu.Unlock()
	if update.ConfigRevision > haveRevision {
		w.obtainConfig(core, update)
	}
	if update.Leaving || update.Stale {
		s.suspectRegistrar()
		s.sleep(watchRetryPause)
	}
}

// obtainConfig obtains the configuration announced in the response to a poll: from the included
// delta, or else by a fetch from the core.
func (w *configWatch) obtainConfig(core ident.Addr, update mesh.WatchResponse) {
	s := w.sidecar
	s.mu.Lock()
	s.config.cache.ObserveCore(s.clock(), update.ConfigRevision)
	s.mu.Unlock()
	if update.Delta != nil {
		if fail := s.applyDelta(*update.Delta); fail == nil {
			w.pauseIfCoreBehind(update.ConfigRevision)
			return
		}
		s.count(counterDeltasRejected)
	}
	if !s.fetchConfigOrCount(core) {
		s.sleep(watchRetryPause)
		return
	}
	w.pauseIfCoreBehind(update.ConfigRevision)
}

// pauseIfCoreBehind pauses if the core's configuration is older than any that may become active
// here, so that a core that lags behind is not polled without a pause.
func (w *configWatch) pauseIfCoreBehind(revision ident.ConfigRevision) {
	if revision < w.sidecar.minRevision() {
		w.sidecar.sleep(watchRetryPause)
	}
}
