// Package coordination is the API of a core for applications: locks, rising numbers, keys and
// keyspaces with watches.
package coordination

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

const (
	maxBodyBytes   = 80 << 10
	requestTimeout = 4 * time.Second
)

// reservedPrefix begins the names that only the mesh itself uses.
const reservedPrefix = "cottonarch."

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,255}$`)

// handlers serve the API of one core.
type handlers struct{ core *core.Core }

// Paths returns the handlers of the API.
func Paths(c *core.Core) server.Paths {
	h := handlers{c}
	return server.Paths{
		"/locks/{name:.+}/claim":   {"POST": h.operationWithArgs("lock", "claim")},
		"/locks/{name:.+}/renew":   {"POST": h.operationWithArgs("lock", "renew")},
		"/locks/{name:.+}/release": {"POST": h.operationWithArgs("lock", "release")},
		"/locks/{name:.+}/pass":    {"POST": h.operationWithArgs("lock", "pass")},
		"/locks/{name:.+}":         {"GET": h.readOf("lock")},
		"/numbers/{name:.+}/next":  {"POST": h.operationWithArgs("number", "next")},
		"/numbers/{name:.+}":       {"GET": h.readOf("number")},
		"/keys":                    {"GET": h.listKeys},
		"/keys/{name:.+}":          {"GET": h.readOf("key"), "PUT": h.writeKey, "DELETE": h.removeKey},
		"/watch":                   {"GET": h.watchKeys},
		"/cells/{name:.+}":         {"GET": h.getEntry, "PUT": h.putEntry},
		"/groups/{name:.+}":        {"GET": h.watchKeyspace},
	}
}

// PathName returns the name in the path. Invalid says that it is malformed or reserved for
// the mesh itself.
func PathName(r *http.Request) (string, *failure.Error) {
	name := mux.Vars(r)["name"]
	if !validName.MatchString(name) || strings.HasPrefix(name, reservedPrefix) {
		return "", failure.New(failure.Invalid, "%q is no name: letters, digits and ._:/- up to 256, not beginning with cottonarch.", name)
	}
	return name, nil
}

// operationWithArgs returns a handler that executes an operation whose arguments are the JSON
// body; an empty body gives none.
func (h handlers) operationWithArgs(kind, action string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		args := json.RawMessage("{}")
		body, err := response.Read(r, maxBodyBytes)
		if err == nil && len(body) > 0 {
			args, err = body, checkJSON(body)
		}
		if err != nil {
			response.Defect(w, err)
			return
		}
		h.execute(w, r, kind, action, args)
	}
}

// readOf returns a handler that reads a value of a kind.
func (h handlers) readOf(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.execute(w, r, kind, "read", json.RawMessage("{}"))
	}
}

// execute executes an operation on the name in the path and responds with the body of its
// result, to which it adds the revision. Idempotency-Key makes a repeat harmless.
func (h handlers) execute(w http.ResponseWriter, r *http.Request, kind, action string, args any) {
	name, err := PathName(r)
	if err != nil {
		response.Defect(w, err)
		return
	}
	result := h.core.Execute(r.Context(), proposer.Operation{
		Key:  ident.Key(kind + "/" + name),
		Kind: kind + "/" + action,
		Op:   ident.OperationID(r.Header.Get("Idempotency-Key")),
		Args: operation.Encode(args),
	}, requestTimeout)
	if result.Failure != nil {
		response.Defect(w, result.Failure)
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(result.Body, &fields); err != nil {
		response.Defect(w, failure.New(failure.Damaged, "response: %v", err))
		return
	}
	if action == "read" && fields["deleted"] == true {
		response.Defect(w, failure.New(failure.NotFound, "there is no such key"))
		return
	}
	if _, ok := fields["revision"]; !ok {
		fields["revision"] = result.Revision
	}
	w.Header().Set("X-Cottonarch-Revision", strconv.FormatUint(uint64(result.Revision), 10))
	response.JSON(w, http.StatusOK, fields)
}
