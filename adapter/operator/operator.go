// Package operator is the operators' surface of a core: manifests in, a plain yes or
// no out.
package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/defect"
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
	return server.Paths{"/manifest": {
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
	a := offer.Args{Partial: part, Body: body}
	if t := r.URL.Query().Get("baseEpoch"); t != "" {
		n, err := strconv.ParseUint(t, 10, 64)
		if err != nil {
			reply.Defect(w, defect.New(defect.Malformed, "baseEpoch is no whole number"))
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
	a.Body = book.JSON(tree)
	e := c.Deed(r.Context(), owner.Deed{Key: offer.Key, Kind: "manifest/offer", Op: ident.Op(r.Header.Get("Idempotency-Key")), Args: book.JSON(a)}, budget)
	if e.Defect != nil {
		c.Board.Add("manifests_turned_away", 1)
		reply.Defect(w, e.Defect)
		return
	}
	c.Board.Add("manifests_taken", 1)
	reply.JSON(w, http.StatusOK, json.RawMessage(e.Body))
}

// read gives the newest confirmed manifest, through its owner.
func read(c *core.Core, w http.ResponseWriter, r *http.Request) {
	m, d := c.Newest(r.Context(), budget)
	if d != nil {
		reply.Defect(w, d)
		return
	}
	if m.Epoch == 0 {
		reply.Defect(w, defect.New(defect.Missing, "no manifest was given yet"))
		return
	}
	reply.JSON(w, http.StatusOK, m.Held)
}
