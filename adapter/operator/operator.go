// Package operator is the operators' surface of a core: manifests in, a plain yes or
// no out.
package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"cottonarch.example/cottonarch/control/audit/chunk"
	"cottonarch.example/cottonarch/control/audit/tree"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/control/register/proposer"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/wire/reply"
	"cottonarch.example/cottonarch/wire/server"
)

const (
	bodyMax = check.BytesMax + 64<<10
	budget  = 4 * time.Second
)

// Paths is the surface.
func Paths(c *core.Core) server.Paths {
	return server.Paths{"/audit": {"GET": func(w http.ResponseWriter, r *http.Request) { audit(c, w, r) }}, "/rollouts/{way}": {
		"POST":   func(w http.ResponseWriter, r *http.Request) { roll(c, w, r) },
		"DELETE": func(w http.ResponseWriter, r *http.Request) { unroll(c, w, r) },
		"GET": func(w http.ResponseWriter, r *http.Request) {
			deed(c, w, r, proposer.Operation{Key: rollout.Key(mux.Vars(r)["way"]), Kind: "rollout/read"})
		},
	}, "/manifest": {
		"PUT":   func(w http.ResponseWriter, r *http.Request) { give(c, w, r, false) },
		"POST":  func(w http.ResponseWriter, r *http.Request) { give(c, w, r, false) },
		"PATCH": func(w http.ResponseWriter, r *http.Request) { give(c, w, r, true) },
		"GET":   func(w http.ResponseWriter, r *http.Request) { read(c, w, r) },
	}}
}

// give takes a manifest: PUT and POST a whole one, PATCH a part of one. baseEpoch
// may name the epoch it builds on. Idempotency-Key makes a repeat harmless.
func give(c *core.Core, w http.ResponseWriter, r *http.Request, part bool) {
	body, d := reply.Read(r, bodyMax)
	if d != nil {
		reply.Defect(w, d)
		return
	}
	a := offer.Args{Partial: part, Op: r.Header.Get("Idempotency-Key"), Body: body}
	if t := r.URL.Query().Get("baseEpoch"); t != "" {
		n, err := strconv.ParseUint(t, 10, 64)
		if err != nil {
			reply.Defect(w, failure.New(failure.Malformed, "baseEpoch is no whole number"))
			return
		}
		base := ident.Epoch(n)
		a.Base = &base
	}
	// What is wrong in itself is turned away here, before it costs a round.
	tree, d := walk.Parse(body)
	if d == nil && !part {
		_, d = check.Read(tree)
	}
	if d != nil {
		reply.Defect(w, d)
		return
	}
	a.Body = operation.Encode(tree)
	e := c.Deed(r.Context(), proposer.Operation{Key: offer.Key, Kind: "manifest/offer", Op: ident.Op(a.Op), Args: operation.Encode(a)}, budget)
	if e.Failure != nil {
		c.Board.Add("manifests_turned_away", 1)
		reply.Defect(w, e.Failure)
		return
	}
	c.Board.Add("manifests_taken", 1)
	reply.JSON(w, http.StatusOK, json.RawMessage(e.Body))
}

// read gives the newest confirmed manifest, through its proposer.
func read(c *core.Core, w http.ResponseWriter, r *http.Request) {
	m, d := c.Newest(r.Context(), budget)
	if d != nil {
		reply.Defect(w, d)
		return
	}
	if m.Epoch == 0 {
		reply.Defect(w, failure.New(failure.Missing, "no manifest was given yet"))
		return
	}
	reply.JSON(w, http.StatusOK, m.Held)
}

func deed(c *core.Core, w http.ResponseWriter, r *http.Request, d proposer.Operation) {
	d.Op = ident.Op(r.Header.Get("Idempotency-Key"))
	e := c.Deed(r.Context(), d, budget)
	if e.Failure != nil {
		reply.Defect(w, e.Failure)
		return
	}
	reply.JSON(w, http.StatusOK, json.RawMessage(e.Body))
}

// roll begins a roll-out of a way to another service.
func roll(c *core.Core, w http.ResponseWriter, r *http.Request) {
	var a rollout.Rollout
	if d := reply.Decode(r, 1<<16, &a); d != nil {
		reply.Defect(w, d)
		return
	}
	a.Way = mux.Vars(r)["way"]
	m, d := c.Newest(r.Context(), budget)
	if d != nil {
		reply.Defect(w, d)
		return
	}
	for _, way := range m.Parsed.Ways {
		if way.Name == a.Way {
			a.From = way.Service
		}
	}
	if _, ok := m.Parsed.Services[a.To]; a.From == "" || !ok {
		reply.Defect(w, failure.New(failure.Missing, "there is no way %q or no service %q", a.Way, a.To))
		return
	}
	deed(c, w, r, proposer.Operation{Key: rollout.Key(a.Way), Kind: "rollout/begin", Args: operation.Encode(a)})
}

// unroll puts the way back.
func unroll(c *core.Core, w http.ResponseWriter, r *http.Request) {
	key := rollout.Key(mux.Vars(r)["way"])
	e := c.Deed(r.Context(), proposer.Operation{Key: key, Kind: "rollout/read"}, budget)
	if e.Failure != nil {
		reply.Defect(w, e.Failure)
		return
	}
	var now rollout.Rollout
	if err := json.Unmarshal(e.Body, &now); err != nil {
		reply.Defect(w, failure.New(failure.Damaged, "roll-out: %v", err))
		return
	}
	deed(c, w, r, proposer.Operation{Key: key, Kind: "rollout/move", Args: operation.Encode(rollout.Move{Round: now.Round, At: now.At, Phase: now.Phase,
		NextAt: now.At, NextPhase: rollout.Backing, Why: "an operator took it back"})})
}

// audit gives the audit log with its checkpoint.
func audit(c *core.Core, w http.ResponseWriter, r *http.Request) {
	for range 5 {
		e := c.Survey(r.Context(), chunk.Prefix, true, budget)
		if e.Failure != nil {
			reply.Defect(w, e.Failure)
			return
		}
		if leaves, ok := node.Leaves(e.Found); ok {
			log, err := tree.Build(leaves)
			if err != nil {
				reply.Defect(w, failure.Of(err))
				return
			}
			reply.JSON(w, http.StatusOK, log)
			return
		}
	}
	reply.Defect(w, failure.New(failure.Busy, "the audit log is being added to").Later(1))
}
