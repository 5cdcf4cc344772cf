package mesh

import (
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/wire/response"
)

const (
	// maxPollWait bounds a long poll, and defaultPollWait is that of a poll which names no time.
	maxPollWait     = 30 * time.Second
	defaultPollWait = time.Second
	// batchDelay is how long a change waits for others, so that they go out together.
	batchDelay = 20 * time.Millisecond
	// burstBatchDelay is the same for a sidecar whose last poll was answered less than
	// recentPollAge ago: while many sidecars join, each would else be told of every other one by
	// itself.
	burstBatchDelay = 100 * time.Millisecond
	recentPollAge   = 200 * time.Millisecond
)

// WatchResponse tells a sidecar what changed. FeedVersion is the position in the feed of the run
// of a core that InstanceID names.
type WatchResponse struct {
	InstanceID     string               `json:"mark"`
	FeedVersion    uint64               `json:"place"`
	Sets           []record.Set         `json:"sets"`
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	Leaving        bool                 `json:"leaving,omitempty"`
	// Stale says that this core has just lost sight of the newest configuration.
	Stale bool `json:"stale,omitempty"`
	// Delta turns the configuration that the sidecar has into the newest one. It is left out where
	// a fetch of the whole costs less.
	Delta *delta.Delta `json:"delta,omitempty"`
}

// watchRequest is what a poll asks for: changes after a version of the feed, or a configuration
// newer than the one that the sidecar has.
type watchRequest struct {
	feedVersion  uint64
	haveRevision ident.ConfigRevision
	wait         time.Duration
}

// parseWatch reads a poll. A version of the feed of another run is none.
func (h handlers) parseWatch(r *http.Request) watchRequest {
	query := r.URL.Query()
	feedVersion, _ := strconv.ParseUint(query.Get("place"), 10, 64)
	haveRevision, _ := strconv.ParseUint(query.Get("manifest"), 10, 64)
	if query.Get("mark") != h.instanceID {
		feedVersion = 0
	}
	wait := defaultPollWait
	if waitMs, err := strconv.Atoi(query.Get("waitMs")); err == nil && waitMs >= 0 {
		wait = min(time.Duration(waitMs)*time.Millisecond, maxPollWait)
	}
	return watchRequest{feedVersion: feedVersion, haveRevision: ident.ConfigRevision(haveRevision), wait: wait}
}

// answeredBy reports whether an update brings anything for the sidecar.
func (r watchRequest) answeredBy(update WatchResponse) bool {
	return update.Leaving || update.Stale || len(update.Sets) > 0 || update.ConfigRevision > r.haveRevision
}

// watch answers a long poll: once there is a change, or when its time is over.
func (h handlers) watch(w http.ResponseWriter, r *http.Request) {
	request := h.parseWatch(r)
	timeout := time.NewTimer(request.wait)
	defer timeout.Stop()
	startedAt := time.Now()
	wasStale := true // only a core that becomes stale meanwhile tells so
	for last := false; ; {
		changed := h.core.RegistryChanged()
		update, fail := h.update(request)
		if fail != nil {
			response.WriteError(w, fail)
			return
		}
		wasStale, update.Stale = update.Stale, update.Stale && !wasStale
		if last || request.answeredBy(update) {
			response.WriteJSON(w, http.StatusOK, update)
			return
		}
		select {
		case <-changed:
			time.Sleep(batchDelayFor(time.Since(startedAt), h.holdsNewer(request.haveRevision)))
		case <-timeout.C:
			last = true
		case <-h.core.Stopping():
			last = true
		case <-h.core.Done():
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// update is what this core can answer to a poll now.
func (h handlers) update(request watchRequest) (WatchResponse, *failure.Error) {
	update, fail := runStep(h.core, func(monotime.Time) (WatchResponse, node.Effects) {
		leases := h.core.Leases()
		return WatchResponse{
			InstanceID:  h.instanceID,
			FeedVersion: leases.FeedVersion(),
			Sets:        leases.ChangesSince(request.feedVersion),
			Stale:       h.core.Node().Stale(),
		}, node.Effects{}
	})
	if fail != nil {
		return update, fail
	}
	update.Leaving = h.core.Leaving()
	if held := h.core.Config(); held != nil {
		update.ConfigRevision = held.Revision
	}
	if update.ConfigRevision > request.haveRevision {
		update.Delta = h.core.ConfigDelta(request.haveRevision)
	}
	return update, nil
}

// holdsNewer reports whether this core holds a configuration newer than a revision.
func (h handlers) holdsNewer(revision ident.ConfigRevision) bool {
	held := h.core.Config()
	return held != nil && held.Revision > revision
}

// batchDelayFor is how long a change waits for others. A sidecar polls again as soon as a poll was
// answered, so the age of its poll is about the time since the last answer. A configuration does
// not wait for the registry.
func batchDelayFor(age time.Duration, configChanged bool) time.Duration {
	if age < recentPollAge && !configChanged {
		return burstBatchDelay
	}
	return batchDelay
}
