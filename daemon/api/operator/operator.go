// Package operator is the operators' surface of a core: manifests in, a plain yes or
// no out.
package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/audit/tree"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

const (
	maxBodyBytes   = validation.MaxBytes + 64<<10
	requestTimeout = 4 * time.Second
)

// Paths is the surface.
func Paths(c *core.Core) server.Paths {
	return server.Paths{"/audit": {"GET": func(w http.ResponseWriter, r *http.Request) { readAuditLog(c, w, r) }}, "/rollouts/{way}": {
		"POST":   func(w http.ResponseWriter, r *http.Request) { startRollout(c, w, r) },
		"DELETE": func(w http.ResponseWriter, r *http.Request) { rollBack(c, w, r) },
		"GET": func(w http.ResponseWriter, r *http.Request) {
			execute(c, w, r, proposer.Operation{Key: rollout.Key(mux.Vars(r)["way"]), Kind: "rollout/read"})
		},
	}, "/manifest": {
		"PUT":   func(w http.ResponseWriter, r *http.Request) { proposeConfig(c, w, r, false) },
		"POST":  func(w http.ResponseWriter, r *http.Request) { proposeConfig(c, w, r, false) },
		"PATCH": func(w http.ResponseWriter, r *http.Request) { proposeConfig(c, w, r, true) },
		"GET":   func(w http.ResponseWriter, r *http.Request) { readConfig(c, w, r) },
	}}
}

// proposeConfig takes a manifest: PUT and POST a whole one, PATCH a part of one. baseEpoch
// may name the epoch it builds on. Idempotency-Key makes a repeat harmless.
func proposeConfig(c *core.Core, w http.ResponseWriter, r *http.Request, isPatch bool) {
	body, err := response.ReadBody(r, maxBodyBytes)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	args := proposal.Args{Partial: isPatch, OperationID: r.Header.Get("Idempotency-Key"), Body: body}
	if text := r.URL.Query().Get("baseEpoch"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			response.WriteError(w, failure.New(failure.Malformed, "baseEpoch is no whole number"))
			return
		}
		baseRevision := ident.Epoch(number)
		args.BaseRevision = &baseRevision
	}
	// What is wrong in itself is turned away here, before it costs a round.
	document, err := decode.Parse(body)
	if err == nil && !isPatch {
		_, err = validation.Strict(document)
	}
	if err != nil {
		response.WriteError(w, err)
		return
	}
	args.Body = operation.Encode(document)
	result := c.Execute(r.Context(), proposer.Operation{Key: proposal.Key, Kind: "manifest/offer", Op: ident.OperationID(args.OperationID), Args: operation.Encode(args)}, requestTimeout)
	if result.Failure != nil {
		c.Metrics.Add("manifests_turned_away", 1)
		response.WriteError(w, result.Failure)
		return
	}
	c.Metrics.Add("manifests_taken", 1)
	response.WriteJSON(w, http.StatusOK, json.RawMessage(result.Body))
}

// readConfig gives the newest confirmed manifest, through its proposer.
func readConfig(c *core.Core, w http.ResponseWriter, r *http.Request) {
	config, err := c.NewestConfig(r.Context(), requestTimeout)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	if config.Revision == 0 {
		response.WriteError(w, failure.New(failure.NotFound, "no manifest was given yet"))
		return
	}
	response.WriteJSON(w, http.StatusOK, config.State)
}

func execute(c *core.Core, w http.ResponseWriter, r *http.Request, op proposer.Operation) {
	op.Op = ident.OperationID(r.Header.Get("Idempotency-Key"))
	result := c.Execute(r.Context(), op, requestTimeout)
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	response.WriteJSON(w, http.StatusOK, json.RawMessage(result.Body))
}

// startRollout begins a roll-out of a way to another service.
func startRollout(c *core.Core, w http.ResponseWriter, r *http.Request) {
	var requested rollout.Rollout
	if err := response.DecodeBody(r, 1<<16, &requested); err != nil {
		response.WriteError(w, err)
		return
	}
	requested.Route = mux.Vars(r)["way"]
	config, err := c.NewestConfig(r.Context(), requestTimeout)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	for _, route := range config.Parsed.Routes {
		if route.Name == requested.Route {
			requested.From = route.Service
		}
	}
	if _, ok := config.Parsed.Services[requested.To]; requested.From == "" || !ok {
		response.WriteError(w, failure.New(failure.NotFound, "there is no way %q or no service %q", requested.Route, requested.To))
		return
	}
	execute(c, w, r, proposer.Operation{Key: rollout.Key(requested.Route), Kind: "rollout/begin", Args: operation.Encode(requested)})
}

// rollBack puts the way back.
func rollBack(c *core.Core, w http.ResponseWriter, r *http.Request) {
	key := rollout.Key(mux.Vars(r)["way"])
	result := c.Execute(r.Context(), proposer.Operation{Key: key, Kind: "rollout/read"}, requestTimeout)
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	var current rollout.Rollout
	if err := json.Unmarshal(result.Body, &current); err != nil {
		response.WriteError(w, failure.New(failure.Damaged, "roll-out: %v", err))
		return
	}
	execute(c, w, r, proposer.Operation{Key: key, Kind: "rollout/move", Args: operation.Encode(rollout.Transition{Generation: current.Generation, Step: current.Step, Phase: current.Phase,
		NextStep: current.Step, NextPhase: rollout.RollingBack, Reason: "an operator took it back"})})
}

// readAuditLog gives the audit log with its checkpoint.
func readAuditLog(c *core.Core, w http.ResponseWriter, r *http.Request) {
	for range 5 {
		result := c.QuorumRead(r.Context(), segment.Prefix, true, requestTimeout)
		if result.Failure != nil {
			response.WriteError(w, result.Failure)
			return
		}
		if leaves, ok := node.AuditEntries(result.Found); ok {
			log, err := tree.Build(leaves)
			if err != nil {
				response.WriteError(w, failure.From(err))
				return
			}
			response.WriteJSON(w, http.StatusOK, log)
			return
		}
	}
	response.WriteError(w, failure.New(failure.Busy, "the audit log is being added to").WithRetryAfter(1))
}
