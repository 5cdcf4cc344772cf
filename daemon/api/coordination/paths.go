// Package coordination implements the API of a core for applications: locks, sequences, keys, and
// keyspaces, with watches of keys and keyspaces.
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
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/sequence"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

const (
	maxBodyBytes   = 80 << 10
	requestTimeout = 4 * time.Second
)

// reservedPrefix is the prefix of names that are reserved for the mesh itself.
const reservedPrefix = "cottonarch."

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,255}$`)

// handlers serves the API of one core.
type handlers struct{ core *core.Core }

// Paths returns the handlers of the API.
func Paths(c *core.Core) server.Paths {
	h := handlers{c}
	return server.Paths{
		"/locks/{name:.+}/claim":   {"POST": h.operationHandler(lock.AcquireKind)},
		"/locks/{name:.+}/renew":   {"POST": h.operationHandler(lock.RenewKind)},
		"/locks/{name:.+}/release": {"POST": h.operationHandler(lock.ReleaseKind)},
		"/locks/{name:.+}/pass":    {"POST": h.operationHandler(lock.TransferKind)},
		"/locks/{name:.+}":         {"GET": h.readHandler(lock.ReadKind)},
		"/numbers/{name:.+}/next":  {"POST": h.operationHandler(sequence.NextKind)},
		"/numbers/{name:.+}":       {"GET": h.readHandler(sequence.ReadKind)},
		"/keys":                    {"GET": h.listKeys},
		"/keys/{name:.+}":          {"GET": h.readHandler(keyvalue.ReadKind), "PUT": h.putKey, "DELETE": h.deleteKey},
		"/watch":                   {"GET": h.watchKeys},
		"/cells/{name:.+}":         {"GET": h.getEntry, "PUT": h.putEntry},
		"/groups/{name:.+}":        {"GET": h.watchKeyspace},
	}
}

// PathName returns the name in the path of a request. PathName fails with Invalid if the name is
// malformed or reserved for the mesh itself.
func PathName(r *http.Request) (string, *failure.Error) {
	name := mux.Vars(r)["name"]
	if !validName.MatchString(name) || strings.HasPrefix(name, reservedPrefix) {
		return "", failure.New(failure.Invalid,
			"name %q is invalid: a name has 1 to 256 letters, digits and characters of ._:/-, begins with a letter or digit, and not with cottonarch.", name)
	}
	return name, nil
}

// operationHandler returns a handler that executes operations of a kind with the JSON body as the
// arguments. An empty body means no arguments.
func (h handlers) operationHandler(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		args := json.RawMessage("{}")
		body, err := response.ReadBody(r, maxBodyBytes)
		if err == nil && len(body) > 0 {
			args, err = body, validateJSON(body)
		}
		if err != nil {
			response.WriteError(w, err)
			return
		}
		h.execute(w, r, kind, args)
	}
}

// readHandler returns a handler that executes operations of a kind without arguments.
func (h handlers) readHandler(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.execute(w, r, kind, json.RawMessage("{}"))
	}
}

// execute executes an operation on the object named in the path and responds with the body of the
// result, to which the revision is added if absent. The header Idempotency-Key makes the request
// safe to repeat. The control key consists of the part of kind before the slash, a slash, and the
// name.
func (h handlers) execute(w http.ResponseWriter, r *http.Request, kind string, args any) {
	name, err := PathName(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	prefix, _, _ := strings.Cut(kind, "/")
	result := h.core.Execute(r.Context(), proposer.Operation{
		Key:  ident.Key(prefix + "/" + name),
		Kind: kind,
		Op:   ident.OperationID(r.Header.Get("Idempotency-Key")),
		Args: operation.Encode(args),
	}, requestTimeout)
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(result.Body, &fields); err != nil {
		response.WriteError(w, failure.New(failure.Corrupted, "cannot decode the result of %s for %q: %v", kind, name, err))
		return
	}
	if kind == keyvalue.ReadKind && fields["deleted"] == true {
		response.WriteError(w, failure.New(failure.NotFound, "key %q does not exist", name))
		return
	}
	if _, ok := fields["revision"]; !ok {
		fields["revision"] = result.Revision
	}
	w.Header().Set("X-Cottonarch-Revision", strconv.FormatUint(uint64(result.Revision), 10))
	response.WriteJSON(w, http.StatusOK, fields)
}
