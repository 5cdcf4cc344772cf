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
	// maxPollWait is the maximum duration of a long poll, and defaultPollWait the duration of a poll
	// that does not specify a duration.
	maxPollWait     = 30 * time.Second
	defaultPollWait = time.Second
	// batchDelay is how long the response to a change is delayed, so that it includes further changes.
	batchDelay = 20 * time.Millisecond
	// burstBatchDelay is the delay for a sidecar whose last poll was answered less than recentPollAge
	// ago. Without the longer delay, while many sidecars join, each sidecar would get a separate
	// response for every other sidecar.
	burstBatchDelay = 100 * time.Millisecond
	recentPollAge   = 200 * time.Millisecond
)

// WatchResponse is the response to a long poll of a sidecar. FeedVersion is a position in the feed
// and is valid only for the run of a core that InstanceID identifies.
type WatchResponse struct {
	InstanceID     string               `json:"mark"`
	FeedVersion    uint64               `json:"place"`
	Sets           []record.Set         `json:"sets"`
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	Leaving        bool                 `json:"leaving,omitempty"`
	// Stale reports that this core became stale during the poll: the core can no longer determine or
	// obtain the newest configuration.
	Stale bool `json:"stale,omitempty"`
	// Delta transforms the configuration that the sidecar has into the newest configuration. Delta is
	// omitted if fetching the whole configuration costs less.
	Delta *delta.Delta `json:"delta,omitempty"`
}

// watchRequest holds the parameters of a long poll: the sidecar waits for registry changes after
// feedVersion or a configuration newer than haveRevision.
type watchRequest struct {
	feedVersion  uint64
	haveRevision ident.ConfigRevision
	wait         time.Duration
}

// parseWatchRequest parses the query of a long poll. A position in the feed of another run is
// replaced by 0, the beginning of the feed.
func (h handlers) parseWatchRequest(r *http.Request) watchRequest {
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

// satisfiedBy reports whether an update contains anything that the sidecar waits for.
func (r watchRequest) satisfiedBy(update WatchResponse) bool {
	return update.Leaving || update.Stale || len(update.Sets) > 0 || update.ConfigRevision > r.haveRevision
}

// watch responds to a long poll when there is a change, when the wait time ends or when the core
// stops.
func (h handlers) watch(w http.ResponseWriter, r *http.Request) {
	request := h.parseWatchRequest(r)
	timeout := time.NewTimer(request.wait)
	defer timeout.Stop()
	startedAt := time.Now()
	wasStale := true // so that Stale is set only if the core becomes stale during the poll
	for final := false; ; {
		changed := h.core.RegistryChanged()
		update, fail := h.currentUpdate(request)
		if fail != nil {
			response.WriteError(w, fail)
			return
		}
		wasStale, update.Stale = update.Stale, update.Stale && !wasStale
		if final || request.satisfiedBy(update) {
			response.WriteJSON(w, http.StatusOK, update)
			return
		}
		select {
		case <-changed:
			time.Sleep(batchDelayFor(time.Since(startedAt), h.hasNewerConfig(request.haveRevision)))
		case <-timeout.C:
			final = true
		case <-h.core.Stopping():
			final = true
		case <-h.core.Done():
			final = true
		case <-r.Context().Done():
			return
		}
	}
}

// currentUpdate returns the response to a poll from the current state of this core.
func (h handlers) currentUpdate(request watchRequest) (WatchResponse, *failure.Error) {
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
	if config := h.core.Config(); config != nil {
		update.ConfigRevision = config.Revision
	}
	if update.ConfigRevision > request.haveRevision {
		update.Delta = h.core.ConfigDelta(request.haveRevision)
	}
	return update, nil
}

// hasNewerConfig reports whether this core holds a configuration newer than a revision.
func (h handlers) hasNewerConfig(revision ident.ConfigRevision) bool {
	config := h.core.Config()
	return config != nil && config.Revision > revision
}

// batchDelayFor returns how long the response to a change is delayed. A sidecar polls again as soon
// as its previous poll was answered, so pollAge is approximately the time since the last response. A
// new configuration never gets the longer delay, which applies to registry changes only.
func batchDelayFor(pollAge time.Duration, configChanged bool) time.Duration {
	if pollAge < recentPollAge && !configChanged {
		return burstBatchDelay
	}
	return batchDelay
}
