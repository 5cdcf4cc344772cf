// Package mesh is what cores and sidecars ask a core.
package mesh

import (
	"cottonarch.example/cottonarch/mesh/registry"
	"encoding/json"
	"github.com/gorilla/mux"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

const (
	maxBodyBytes = 32 << 20
	// maxPollWait bounds a long poll; one that asks for less gets that, one that asks for
	// nothing waits waitElse.
	maxPollWait     = 30 * time.Second
	defaultPollWait = time.Second
	// batchDelay is how long a change waits for others, so that they go out as one.
	batchDelay = 20 * time.Millisecond
	// burstBatchDelay is the same for an asker that was told something less than toldLately ago:
	// while many sidecars join, each would else be told of every other by itself.
	burstBatchDelay = 100 * time.Millisecond
	recentPollAge   = 200 * time.Millisecond
	// PartBytes is the size of a part of a manifest.
	PartBytes = 256 << 10
)

// JoinResponse is the return to a sidecar that claims its membership.
type JoinResponse struct {
	LeaseEpoch     ident.Epoch           `json:"claim"`
	BudgetShare    quota.Share           `json:"share"`
	Cores          []record.CoreLocation `json:"cores"`
	CoresVersion   string                `json:"view"` // of Cores
	ConfigRevision ident.Epoch           `json:"manifest"`
}

// WatchResponse is the return to a sidecar that follows the registry and the manifest. Place
// belongs to one run of one core, named by Mark.
type WatchResponse struct {
	InstanceID     string       `json:"mark"`
	FeedVersion    uint64       `json:"place"`
	Sets           []record.Set `json:"sets"`
	ConfigRevision ident.Epoch  `json:"manifest"`
	Leaving        bool         `json:"leaving,omitempty"`
	// Stale says that this core has just become unsure of the newest manifest.
	Stale bool `json:"stale,omitempty"`
	// Delta turns the manifest that the asker has into the newest one, where that is worth
	// more than a fetch.
	Delta *delta.Delta `json:"delta,omitempty"`
}

// ConfigPart is a bounded part of a manifest, or a delta to it in place of all its parts. Size, At
// and Data speak of the compressed form if Packed is set.
type ConfigPart struct {
	Revision   ident.Epoch  `json:"epoch"`
	Size       int          `json:"size"`
	Offset     int          `json:"at"`
	Data       []byte       `json:"data"`
	Compressed bool         `json:"packed,omitempty"`
	Delta      *delta.Delta `json:"delta,omitempty"`
}

type handlers struct {
	core       *core.Core
	instanceID string
}

// Paths is the surface.
func Paths(c *core.Core, instanceID string) server.Paths {
	h := handlers{c, instanceID}
	return server.Paths{
		"/cottonarch/v1/messages": {"POST": h.messages},
		"/cottonarch/v1/cores": {"GET": func(w http.ResponseWriter, _ *http.Request) {
			response.WriteJSON(w, http.StatusOK, core.KnownCores{Cores: c.View().Cores, FromCore: true})
		}},
		"/cottonarch/v1/claim": {"POST": h.join},
		"/cottonarch/v1/renew": {"POST": h.renew},
		"/cottonarch/v1/share": {"POST": h.budgetShare},
		"/cottonarch/v1/news":  {"GET": h.watch},
		"/cottonarch/v1/part":  {"GET": h.configPart},
		"/address/{key:.+}":    {"GET": h.lookup},
	}
}

func (h handlers) messages(w http.ResponseWriter, r *http.Request) {
	var batch core.Batch
	if fail := response.DecodeBody(r, maxBodyBytes, &batch); fail != nil {
		response.WriteError(w, fail)
		return
	}
	writeWithoutDate(w, h.core.Receive(r.Context(), batch))
}

// writeWithoutDate writes a return without a date: it may well be smaller than its head.
func writeWithoutDate(w http.ResponseWriter, v any) {
	w.Header()["Date"] = nil
	response.WriteJSON(w, http.StatusOK, v)
}

// JoinRequest is how a sidecar asks for its membership. Run marks the attempt: a repeat
// under the same mark is the same join, at whichever core.
type JoinRequest struct {
	Node ident.Node `json:"node"`
	Run  string     `json:"run,omitempty"`
}

// join lets a sidecar join: with others that come at the same time, its claim epoch, its
// share and the newest manifest epoch are read from a majority of disks.
func (h handlers) join(w http.ResponseWriter, r *http.Request) {
	var request JoinRequest
	if fail := response.DecodeBody(r, 1<<16, &request); fail != nil {
		response.WriteError(w, fail)
		return
	}
	if request.Node == "" {
		response.WriteError(w, failure.New(failure.Invalid, "a claim needs a node"))
		return
	}
	if len(request.Run) > quota.MaxRunIDBytes {
		response.WriteError(w, failure.New(failure.Invalid, "the mark of a run has at most %d bytes", quota.MaxRunIDBytes))
		return
	}
	answer := h.core.Join(r.Context(), joinqueue.Request{Node: request.Node, Run: request.Run, RetryTotal: h.core.Settings.RetryLimit})
	if answer.Failure != nil {
		response.WriteError(w, answer.Failure)
		return
	}
	var joined node.Joined
	if err := json.Unmarshal(answer.Body, &joined); err != nil {
		response.WriteError(w, failure.New(failure.Damaged, "join: %v", err))
		return
	}
	h.core.Metrics.Add("claims", 1)
	view := h.core.View()
	response.WriteJSON(w, http.StatusOK, JoinResponse{LeaseEpoch: joined.LeaseEpoch, BudgetShare: joined.Share, Cores: view.Places, CoresVersion: view.PlacesDigest, ConfigRevision: joined.ConfigRevision})
}

// budgetShare takes a sidecar's promise to spend less, or its wish for more.
func (h handlers) budgetShare(w http.ResponseWriter, r *http.Request) {
	var args quota.Args
	if fail := response.DecodeBody(r, 1<<16, &args); fail != nil {
		response.WriteError(w, fail)
		return
	}
	answer := h.core.Execute(r.Context(), proposer.Operation{Key: "share", Kind: "share/take", Args: operation.Encode(args.CappedBy(h.core.Settings.RetryLimit))}, 3*time.Second)
	if answer.Failure != nil {
		response.WriteError(w, answer.Failure)
		return
	}
	response.WriteJSON(w, http.StatusOK, json.RawMessage(answer.Body))
}

func (h handlers) renew(w http.ResponseWriter, r *http.Request) {
	var request record.Renewal
	if fail := response.DecodeBody(r, maxBodyBytes, &request); fail != nil {
		response.WriteError(w, fail)
		return
	}
	if request.Node == "" {
		response.WriteError(w, failure.New(failure.Invalid, "a renewal needs a node"))
		return
	}
	type end struct {
		answer record.RenewalResponse
		fail   *failure.Error
	}
	done := make(chan end, 1)
	if !h.core.RunStep(func(now monotime.Time) node.Effects {
		answer, effects, fail := h.core.Node().Renew(now, request)
		done <- end{answer, fail}
		return effects
	}) {
		response.WriteError(w, failure.New(failure.Busy, "the core's inbox is full").WithRetryAfter(1))
		return
	}
	var got end
	select {
	case got = <-done:
		if got.fail != nil {
			response.WriteError(w, got.fail)
			return
		}
	case <-h.core.Done():
		response.WriteError(w, failure.New(failure.Stopping, "the core stops").WithRetryAfter(1))
		return
	}
	view := h.core.View()
	if got.answer.CoresVersion = view.PlacesDigest; request.CoresVersion != view.PlacesDigest {
		got.answer.Cores = view.Places
	}
	if held := h.core.Config(); held != nil {
		got.answer.ConfigRevision = held.Revision
	}
	writeWithoutDate(w, got.answer)
}

// watch waits until the registry or the manifest is ahead of what the asker has.
func (h handlers) watch(w http.ResponseWriter, r *http.Request) {
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
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	startedAt := time.Now()
	for last, first, wasStale := false, true, false; ; first = false {
		feed := h.core.RegistryChanged()
		done := make(chan WatchResponse, 1)
		if !h.core.RunStep(func(monotime.Time) node.Effects {
			leases := h.core.Leases()
			done <- WatchResponse{InstanceID: h.instanceID, FeedVersion: leases.FeedVersion(), Sets: leases.ChangesSince(feedVersion), Stale: h.core.Node().Stale()}
			return node.Effects{}
		}) {
			response.WriteError(w, failure.New(failure.Busy, "the core's inbox is full").WithRetryAfter(1))
			return
		}
		var update WatchResponse
		select {
		case update = <-done:
		case <-h.core.Done():
			response.WriteError(w, failure.New(failure.Stopping, "the core stops").WithRetryAfter(1))
			return
		}
		wasStale, update.Stale = update.Stale, update.Stale && !wasStale && !first
		update.Leaving = h.core.Leaving()
		if held := h.core.Config(); held != nil {
			update.ConfigRevision = held.Revision
		}
		if uint64(update.ConfigRevision) > haveRevision {
			update.Delta = h.core.ConfigDelta(ident.Epoch(haveRevision))
		}
		if last || update.Leaving || update.Stale || len(update.Sets) > 0 || uint64(update.ConfigRevision) > haveRevision {
			response.WriteJSON(w, http.StatusOK, update)
			return
		}
		select {
		case <-feed:
			held := h.core.Config()
			time.Sleep(batchDelayFor(time.Since(startedAt), held != nil && uint64(held.Revision) > haveRevision))
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

// batchDelayFor is how long a change waits for others. An asker comes back as soon as it was
// told something, so the age of its question shows how long ago that was; a manifest does
// not wait for the registry.
func batchDelayFor(age time.Duration, configChanged bool) time.Duration {
	if age < recentPollAge && !configChanged {
		return burstBatchDelay
	}
	return batchDelay
}

func (h handlers) configPart(w http.ResponseWriter, r *http.Request) {
	held := h.core.Config()
	if held == nil {
		// That there is none, only a majority can tell.
		response.WriteError(w, failure.New(failure.NotReady, "no manifest is known here").WithRetryAfter(1))
		return
	}
	ServeConfigPart(w, r, ConfigSource{Revision: held.Revision, Raw: held.Document, Compressed: held.Packed, DeltaFrom: h.core.ConfigDelta})
}

// ConfigSource is a manifest that is given away. Since, when set, gives a delta from an older one.
type ConfigSource struct {
	Revision   ident.Epoch
	Raw        json.RawMessage
	Compressed *delta.Compressed
	DeltaFrom  func(from ident.Epoch) *delta.Delta
}

// ServeConfigPart serves one part of a manifest: a delta to an asker that names what it has, if
// there is one, and the compressed form to an asker that can read it.
func ServeConfigPart(w http.ResponseWriter, r *http.Request, source ConfigSource) {
	query := r.URL.Query()
	offset, err := strconv.Atoi(query.Get("at"))
	if err != nil || offset < 0 {
		response.WriteError(w, failure.New(failure.Malformed, "at is no place in the manifest"))
		return
	}
	if haveRevision, err := strconv.ParseUint(query.Get("have"), 10, 64); err == nil && offset == 0 && source.DeltaFrom != nil {
		if change := source.DeltaFrom(ident.Epoch(haveRevision)); change != nil && change.To == source.Revision {
			response.WriteJSON(w, http.StatusOK, ConfigPart{Revision: change.To, Delta: change})
			return
		}
	}
	part := ConfigPart{Revision: source.Revision, Offset: offset, Compressed: query.Get("packed") != "" && source.Compressed != nil}
	data := []byte(source.Raw)
	if part.Compressed {
		data = source.Compressed.Bytes()
	}
	if offset > len(data) {
		response.WriteError(w, failure.New(failure.Malformed, "at is no place in the manifest"))
		return
	}
	part.Size, part.Data = len(data), data[offset:min(len(data), offset+PartBytes)]
	response.WriteJSON(w, http.StatusOK, part)
}

// lookup looks one universal record up: by serverId, namespace/hostname or
// network/ip:port. A core that is cut off has old records, and says neither yes nor no.
func (h handlers) lookup(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	type found struct {
		sets  []record.Set
		stale bool
	}
	done := make(chan found, 1)
	if !h.core.RunStep(func(now monotime.Time) node.Effects {
		done <- found{h.core.Leases().ChangesSince(0), h.core.Node().StaleAt(now)}
		return node.Effects{}
	}) {
		response.WriteError(w, failure.New(failure.Busy, "the core's inbox is full").WithRetryAfter(1))
		return
	}
	select {
	case got := <-done:
		if got.stale {
			response.WriteError(w, failure.New(failure.NoMajority, "this core hears no majority").WithRetryAfter(1))
			return
		}
		records := registry.New()
		records.Merge(got.sets)
		if address, ok := records.Lookup(key); ok {
			response.WriteJSON(w, http.StatusOK, address)
			return
		}
		response.WriteError(w, failure.New(failure.NotFound, "no address %q", key))
	case <-h.core.Done():
		response.WriteError(w, failure.New(failure.Stopping, "the core stops").WithRetryAfter(1))
	}
}
