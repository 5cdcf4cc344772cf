package sidecar

import (
	"encoding/json"
	"net/http"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/wire/reply"
	"cottonarch.example/cottonarch/wire/server"

	"github.com/gorilla/mux"
)

// Paths is what endpoints, peers and operators may ask a sidecar.
func (s *Sidecar) Paths() server.Paths {
	return server.Paths{
		"/beat":               {"POST": s.onBeat},
		"/manifest":           {"GET": s.onManifest},
		"/address/{key:.+}":   {"GET": s.onAddress},
		"/cottonarch/v1/peer": {"GET": s.onPeer},
		"/cottonarch/v1/cores": {"GET": func(w http.ResponseWriter, _ *http.Request) {
			reply.JSON(w, http.StatusOK, core.Known{Cores: s.cored()})
		}},
		"/cottonarch/v1/part":  {"GET": s.onPart},
		"/cottonarch/v1/heard": {"POST": s.onHeard},
	}
}

func (s *Sidecar) onBeat(w http.ResponseWriter, r *http.Request) {
	var b gate.Beat
	if d := reply.Decode(r, 1<<16, &b); d != nil {
		reply.Defect(w, d)
		return
	}
	if d := s.Beat(b); d != nil {
		reply.Defect(w, d)
		return
	}
	reply.JSON(w, http.StatusOK, map[string]any{"beatEveryMs": gate.BeatEvery.Milliseconds(), "silentAfterMs": gate.Silent.Milliseconds()})
}

// inForce gives the manifest in force, or says that there is none.
func (s *Sidecar) inForce(w http.ResponseWriter) (epoch ident.Epoch, raw json.RawMessage) {
	s.mu.Lock()
	epoch, raw = s.path.Epoch(), s.shown.raw
	s.mu.Unlock()
	if epoch == 0 {
		reply.Defect(w, failure.New(failure.Missing, "no manifest is in force yet"))
	}
	return
}

// onManifest shows what is in force here.
func (s *Sidecar) onManifest(w http.ResponseWriter, _ *http.Request) {
	if epoch, raw := s.inForce(w); epoch > 0 {
		reply.JSON(w, http.StatusOK, map[string]any{"epoch": epoch, "manifest": raw})
	}
}

func (s *Sidecar) onAddress(w http.ResponseWriter, r *http.Request) {
	k := mux.Vars(r)["key"]
	s.mu.Lock()
	a, ok := s.path.Index.Look(k)
	s.mu.Unlock()
	if !ok {
		reply.Defect(w, failure.New(failure.Missing, "no address %q", k))
		return
	}
	reply.JSON(w, http.StatusOK, a)
}

func (s *Sidecar) onPeer(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	epoch, _ := s.holds()
	p := Peer{Manifest: epoch, Heard: s.wit.Heard(), Entered: s.entered.Load(), Sets: s.path.Index.Sets()}
	s.mu.Unlock()
	if query := r.URL.Query(); query.Get("brief") != "" || query.Get("have") == sum(p.Sets) {
		p.Sets = nil
	}
	reply.JSON(w, http.StatusOK, p)
}

func (s *Sidecar) onPart(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	epoch, held := s.holds()
	s.mu.Unlock()
	if epoch == 0 {
		reply.Defect(w, failure.New(failure.Missing, "no manifest is here yet"))
		return
	}
	mesh.GivePart(w, r, mesh.Source{Epoch: epoch, Raw: held.raw, Packed: held.packed, Since: held.since})
}

func (s *Sidecar) onHeard(w http.ResponseWriter, r *http.Request) {
	var h Heard
	if d := reply.Decode(r, 1<<16, &h); d != nil {
		reply.Defect(w, d)
		return
	}
	reply.JSON(w, http.StatusOK, s.Hear(h))
}

// Front takes every request of the callers' address.
func (s *Sidecar) Front(w http.ResponseWriter, r *http.Request) bool {
	s.Intake(w, r)
	return true
}
