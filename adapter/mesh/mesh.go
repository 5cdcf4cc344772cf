// Package mesh is what cores and sidecars ask a core.
package mesh

import (
	"cottonarch.example/cottonarch/mesh/registry/index"
	"encoding/json"
	"github.com/gorilla/mux"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/admission"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/delta"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
	"cottonarch.example/cottonarch/wire/reply"
	"cottonarch.example/cottonarch/wire/server"
)

const (
	bodyMax = 32 << 20
	// waitMost bounds a long poll; one that asks for less gets that, one that asks for
	// nothing waits waitElse.
	waitMost = 30 * time.Second
	waitElse = time.Second
	// gather is how long a change waits for others, so that they go out as one.
	gather = 20 * time.Millisecond
	// gatherMore is the same for an asker that was told something less than toldLately ago:
	// while many sidecars join, each would else be told of every other by itself.
	gatherMore = 100 * time.Millisecond
	toldLately = 200 * time.Millisecond
	// PartBytes is the size of a part of a manifest.
	PartBytes = 256 << 10
)

// Entry is the return to a sidecar that claims its membership.
type Entry struct {
	Claim    ident.Epoch    `json:"claim"`
	Share    share.Told     `json:"share"`
	Cores    []record.Place `json:"cores"`
	View     string         `json:"view"` // of Cores
	Manifest ident.Epoch    `json:"manifest"`
}

// News is the return to a sidecar that follows the registry and the manifest. Place
// belongs to one run of one core, named by Mark.
type News struct {
	Mark     string       `json:"mark"`
	Place    uint64       `json:"place"`
	Sets     []record.Set `json:"sets"`
	Manifest ident.Epoch  `json:"manifest"`
	Leaving  bool         `json:"leaving,omitempty"`
	// Stale says that this core has just become unsure of the newest manifest.
	Stale bool `json:"stale,omitempty"`
	// Delta turns the manifest that the asker has into the newest one, where that is worth
	// more than a fetch.
	Delta *delta.Delta `json:"delta,omitempty"`
}

// Part is a bounded part of a manifest, or a delta to it in place of all its parts. Size, At
// and Data speak of the compressed form if Packed is set.
type Part struct {
	Epoch  ident.Epoch  `json:"epoch"`
	Size   int          `json:"size"`
	At     int          `json:"at"`
	Data   []byte       `json:"data"`
	Packed bool         `json:"packed,omitempty"`
	Delta  *delta.Delta `json:"delta,omitempty"`
}

type surface struct {
	c    *core.Core
	mark string
}

// Paths is the surface.
func Paths(c *core.Core, mark string) server.Paths {
	s := surface{c, mark}
	return server.Paths{
		"/cottonarch/v1/messages": {"POST": s.messages},
		"/cottonarch/v1/cores": {"GET": func(w http.ResponseWriter, _ *http.Request) {
			reply.JSON(w, http.StatusOK, core.Known{Cores: c.View().Cores, Core: true})
		}},
		"/cottonarch/v1/claim": {"POST": s.claim},
		"/cottonarch/v1/renew": {"POST": s.renew},
		"/cottonarch/v1/share": {"POST": s.share},
		"/cottonarch/v1/news":  {"GET": s.news},
		"/cottonarch/v1/part":  {"GET": s.part},
		"/address/{key:.+}":    {"GET": s.address},
	}
}

func (s surface) messages(w http.ResponseWriter, r *http.Request) {
	var b core.Batch
	if d := reply.Decode(r, bodyMax, &b); d != nil {
		reply.Defect(w, d)
		return
	}
	lean(w, s.c.Take(r.Context(), b))
}

// lean writes a return without a date: it may well be smaller than its head.
func lean(w http.ResponseWriter, v any) {
	w.Header()["Date"] = nil
	reply.JSON(w, http.StatusOK, v)
}

// JoinRequest is how a sidecar asks for its membership. Run marks the attempt: a repeat
// under the same mark is the same join, at whichever core.
type JoinRequest struct {
	Node ident.Node `json:"node"`
	Run  string     `json:"run,omitempty"`
}

// claim lets a sidecar join: with others that come at the same time, its claim epoch, its
// share and the newest manifest epoch are read from a majority of disks.
func (s surface) claim(w http.ResponseWriter, r *http.Request) {
	var ask JoinRequest
	if d := reply.Decode(r, 1<<16, &ask); d != nil {
		reply.Defect(w, d)
		return
	}
	if ask.Node == "" {
		reply.Defect(w, failure.New(failure.Invalid, "a claim needs a node"))
		return
	}
	if len(ask.Run) > share.RunMost {
		reply.Defect(w, failure.New(failure.Invalid, "the mark of a run has at most %d bytes", share.RunMost))
		return
	}
	e := s.c.Join(r.Context(), admission.Request{Node: ask.Node, Run: ask.Run, Total: s.c.Boot.Extra})
	if e.Failure != nil {
		reply.Defect(w, e.Failure)
		return
	}
	var got node.Joined
	if err := json.Unmarshal(e.Body, &got); err != nil {
		reply.Defect(w, failure.New(failure.Damaged, "join: %v", err))
		return
	}
	s.c.Board.Add("claims", 1)
	v := s.c.View()
	reply.JSON(w, http.StatusOK, Entry{Claim: got.Claim, Share: got.Share, Cores: v.Places, View: v.Sight, Manifest: got.Manifest})
}

// share takes a sidecar's promise to spend less, or its wish for more.
func (s surface) share(w http.ResponseWriter, r *http.Request) {
	var a share.Args
	if d := reply.Decode(r, 1<<16, &a); d != nil {
		reply.Defect(w, d)
		return
	}
	e := s.c.Deed(r.Context(), proposer.Operation{Key: "share", Kind: "share/take", Args: operation.Encode(a.Under(s.c.Boot.Extra))}, 3*time.Second)
	if e.Failure != nil {
		reply.Defect(w, e.Failure)
		return
	}
	reply.JSON(w, http.StatusOK, json.RawMessage(e.Body))
}

func (s surface) renew(w http.ResponseWriter, r *http.Request) {
	var ask record.Renewal
	if d := reply.Decode(r, bodyMax, &ask); d != nil {
		reply.Defect(w, d)
		return
	}
	if ask.Node == "" {
		reply.Defect(w, failure.New(failure.Invalid, "a renewal needs a node"))
		return
	}
	type end struct {
		out record.Renewed
		d   *failure.Error
	}
	done := make(chan end, 1)
	if !s.c.Do(func(now monotime.Time) node.Effects {
		out, fx, d := s.c.Node().Renew(now, ask)
		done <- end{out, d}
		return fx
	}) {
		reply.Defect(w, failure.New(failure.Busy, "the core's inbox is full").Later(1))
		return
	}
	var got end
	select {
	case got = <-done:
		if got.d != nil {
			reply.Defect(w, got.d)
			return
		}
	case <-s.c.Done():
		reply.Defect(w, failure.New(failure.Stopping, "the core stops").Later(1))
		return
	}
	v := s.c.View()
	if got.out.View = v.Sight; ask.View != v.Sight {
		got.out.Cores = v.Places
	}
	if m := s.c.Held(); m != nil {
		got.out.Manifest = m.Epoch
	}
	lean(w, got.out)
}

// news waits until the registry or the manifest is ahead of what the asker has.
func (s surface) news(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("place"), 10, 64)
	have, _ := strconv.ParseUint(q.Get("manifest"), 10, 64)
	if q.Get("mark") != s.mark {
		after = 0
	}
	wait := waitElse
	if ms, err := strconv.Atoi(q.Get("waitMs")); err == nil && ms >= 0 {
		wait = min(time.Duration(ms)*time.Millisecond, waitMost)
	}
	over := time.NewTimer(wait)
	defer over.Stop()
	began := time.Now()
	for last, first, was := false, true, false; ; first = false {
		feed := s.c.Feed()
		done := make(chan News, 1)
		if !s.c.Do(func(monotime.Time) node.Effects {
			l := s.c.Leases()
			done <- News{Mark: s.mark, Place: l.Change(), Sets: l.Feed(after), Stale: s.c.Node().Stale()}
			return node.Effects{}
		}) {
			reply.Defect(w, failure.New(failure.Busy, "the core's inbox is full").Later(1))
			return
		}
		var out News
		select {
		case out = <-done:
		case <-s.c.Done():
			reply.Defect(w, failure.New(failure.Stopping, "the core stops").Later(1))
			return
		}
		was, out.Stale = out.Stale, out.Stale && !was && !first
		out.Leaving = s.c.Leaving()
		if m := s.c.Held(); m != nil {
			out.Manifest = m.Epoch
		}
		if uint64(out.Manifest) > have {
			out.Delta = s.c.Since(ident.Epoch(have))
		}
		if last || out.Leaving || out.Stale || len(out.Sets) > 0 || uint64(out.Manifest) > have {
			reply.JSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-feed:
			m := s.c.Held()
			time.Sleep(gathering(time.Since(began), m != nil && uint64(m.Epoch) > have))
		case <-over.C:
			last = true
		case <-s.c.Stopping():
			last = true
		case <-s.c.Done():
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// gathering is how long a change waits for others. An asker comes back as soon as it was
// told something, so the age of its question shows how long ago that was; a manifest does
// not wait for the registry.
func gathering(age time.Duration, manifest bool) time.Duration {
	if age < toldLately && !manifest {
		return gatherMore
	}
	return gather
}

func (s surface) part(w http.ResponseWriter, r *http.Request) {
	m := s.c.Held()
	if m == nil {
		// That there is none, only a majority can tell.
		reply.Defect(w, failure.New(failure.NotReady, "no manifest is known here").Later(1))
		return
	}
	GivePart(w, r, Source{Epoch: m.Epoch, Raw: m.Manifest, Packed: m.Packed, Since: s.c.Since})
}

// Source is a manifest that is given away. Since, when set, gives a delta from an older one.
type Source struct {
	Epoch  ident.Epoch
	Raw    json.RawMessage
	Packed *delta.Packed
	Since  func(from ident.Epoch) *delta.Delta
}

// GivePart serves one part of a manifest: a delta to an asker that names what it has, if
// there is one, and the compressed form to an asker that can read it.
func GivePart(w http.ResponseWriter, r *http.Request, src Source) {
	query := r.URL.Query()
	at, err := strconv.Atoi(query.Get("at"))
	if err != nil || at < 0 {
		reply.Defect(w, failure.New(failure.Malformed, "at is no place in the manifest"))
		return
	}
	if have, err := strconv.ParseUint(query.Get("have"), 10, 64); err == nil && at == 0 && src.Since != nil {
		if d := src.Since(ident.Epoch(have)); d != nil && d.To == src.Epoch {
			reply.JSON(w, http.StatusOK, Part{Epoch: d.To, Delta: d})
			return
		}
	}
	out := Part{Epoch: src.Epoch, At: at, Packed: query.Get("packed") != "" && src.Packed != nil}
	data := []byte(src.Raw)
	if out.Packed {
		data = src.Packed.Bytes()
	}
	if at > len(data) {
		reply.Defect(w, failure.New(failure.Malformed, "at is no place in the manifest"))
		return
	}
	out.Size, out.Data = len(data), data[at:min(len(data), at+PartBytes)]
	reply.JSON(w, http.StatusOK, out)
}

// address looks one universal record up: by serverId, namespace/hostname or
// network/ip:port. A core that is cut off has old records, and says neither yes nor no.
func (s surface) address(w http.ResponseWriter, r *http.Request) {
	want := mux.Vars(r)["key"]
	type found struct {
		sets  []record.Set
		stale bool
	}
	done := make(chan found, 1)
	if !s.c.Do(func(now monotime.Time) node.Effects {
		done <- found{s.c.Leases().Feed(0), s.c.Node().StaleAt(now)}
		return node.Effects{}
	}) {
		reply.Defect(w, failure.New(failure.Busy, "the core's inbox is full").Later(1))
		return
	}
	select {
	case got := <-done:
		if got.stale {
			reply.Defect(w, failure.New(failure.NoMajority, "this core hears no majority").Later(1))
			return
		}
		x := index.New()
		x.Merge(got.sets)
		if a, ok := x.Look(want); ok {
			reply.JSON(w, http.StatusOK, a)
			return
		}
		reply.Defect(w, failure.New(failure.Missing, "no address %q", want))
	case <-s.c.Done():
		reply.Defect(w, failure.New(failure.Stopping, "the core stops").Later(1))
	}
}
