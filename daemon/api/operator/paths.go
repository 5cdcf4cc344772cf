// Package operator is the API of a core for operators: configurations, rollouts and the audit
// log.
package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/audit/tree"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

const (
	requestTimeout = 4 * time.Second
	// auditAttempts bounds the reads of an audit log that is being appended to.
	auditAttempts = 5
	// auditRetrySeconds is when to retry if all of them failed.
	auditRetrySeconds = 1
)

// handlers serve the API of one core.
type handlers struct{ core *core.Core }

// Paths returns the handlers of the API.
func Paths(c *core.Core) server.Paths {
	h := handlers{c}
	return server.Paths{
		"/audit":          {"GET": h.readAuditLog},
		"/rollouts/{way}": {"POST": h.startRollout, "DELETE": h.rollBack, "GET": h.readRollout},
		"/manifest":       {"PUT": h.proposeConfig, "POST": h.proposeConfig, "PATCH": h.patchConfig, "GET": h.readConfig},
	}
}

// execute executes an operation and responds with its result. Idempotency-Key makes a repeat
// harmless.
func (h handlers) execute(w http.ResponseWriter, r *http.Request, op proposer.Operation) {
	op.Op = ident.OperationID(r.Header.Get("Idempotency-Key"))
	result := h.core.Execute(r.Context(), op, requestTimeout)
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	response.WriteJSON(w, http.StatusOK, json.RawMessage(result.Body))
}

// routeName returns the name of the route in the path.
func routeName(r *http.Request) string { return mux.Vars(r)["way"] }

// readAuditLog responds with the audit log and its checkpoint. A read of several segments may
// miss an entry between them, so it is repeated.
func (h handlers) readAuditLog(w http.ResponseWriter, r *http.Request) {
	for range auditAttempts {
		result := h.core.QuorumRead(r.Context(), segment.Prefix, true, requestTimeout)
		if result.Failure != nil {
			response.WriteError(w, result.Failure)
			return
		}
		entries, ok := node.AuditEntries(result.Found)
		if !ok {
			continue
		}
		log, err := tree.Build(entries)
		if err != nil {
			response.WriteError(w, failure.From(err))
			return
		}
		response.WriteJSON(w, http.StatusOK, log)
		return
	}
	response.WriteError(w, failure.New(failure.Busy, "the audit log is being appended to").WithRetryAfter(auditRetrySeconds))
}
