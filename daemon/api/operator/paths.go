// Package operator implements the API of a core for operators: configurations, rollouts and the
// audit log.
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
	// auditAttempts is the maximum number of reads of an audit log to which a core is appending.
	auditAttempts = 5
	// auditRetrySeconds is the Retry-After if none of the reads returned a complete log.
	auditRetrySeconds = 1
)

// handlers serves the API of one core.
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

// execute executes an operation and responds with its result. The header Idempotency-Key makes the
// request safe to repeat.
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

// readAuditLog responds with the audit log and its checkpoint. The log is read in several segments,
// and an entry that is appended during the read can be missing between two segments. In that case
// readAuditLog reads again.
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
	response.WriteError(w, failure.New(failure.Busy, "no complete read of the audit log in %d attempts: entries are being appended", auditAttempts).WithRetryAfter(auditRetrySeconds))
}
