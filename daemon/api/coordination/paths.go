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

// reservedPrefix begins the names that only the mesh itself uses.
const reservedPrefix = "cottonarch."

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,255}$`)

// handlers serve the API of one core.
type handlers struct{ core *core.Core }

// Paths returns the handlers of the API.
func Paths(c *core.Core) server.Paths {
	h := handlers{c}
	return server.Paths{
		"/locks/{name:.+}/claim":   {"POST": h.operation(lock.AcquireKind)},
		"/locks/{name:.+}/renew":   {"POST": h.operation(lock.RenewKind)},
		"/locks/{name:.+}/release": {"POST": h.operation(lock.ReleaseKind)},
		"/locks/{name:.+}/pass":    {"POST": h.operation(lock.TransferKind)},
		"/locks/{name:.+}":         {"GET": h.read(lock.ReadKind)},
		"/numbers/{name:.+}/next":  {"POST": h.operation(sequence.NextKind)},
		"/numbers/{name:.+}":       {"GET": h.read(sequence.ReadKind)},
		"/keys":                    {"GET": h.listKeys},
		"/keys/{name:.+}":          {"GET": h.read(keyvalue.ReadKind), "PUT": h.writeKey, "DELETE": h.removeKey},
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
		return "", failure.New(failure.Invalid,
			"%q is not a valid name: letters, digits and ._:/- up to 256, not beginning with cottonarch.", name)
	}
	return name, nil
}

// operation returns a handler that executes operations of a kind, whose arguments are the JSON
// body; an empty body gives none.
func (h handlers) operation(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		args := json.RawMessage("{}")
		body, err := response.ReadBody(r, maxBodyBytes)
		if err == nil && len(body) > 0 {
			args, err = body, checkJSON(body)
		}
		if err != nil {
			response.WriteError(w, err)
			return
		}
		h.execute(w, r, kind, args)
	}
}

// read returns a handler that executes operations of a kind without arguments.
func (h handlers) read(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.execute(w, r, kind, json.RawMessage("{}"))
	}
}

// execute executes an operation on the name in the path and responds with the body of its
// result, to which it adds the revision. Idempotency-Key makes a repeat harmless. The control
// key is the name below the first part of the kind.
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
		response.WriteError(w, failure.New(failure.Corrupted, "response: %v", err))
		return
	}
	if kind == keyvalue.ReadKind && fields["deleted"] == true {
		response.WriteError(w, failure.New(failure.NotFound, "there is no such key"))
		return
	}
	if _, ok := fields["revision"]; !ok {
		fields["revision"] = result.Revision
	}
	w.Header().Set("X-Cottonarch-Revision", strconv.FormatUint(uint64(result.Revision), 10))
	response.WriteJSON(w, http.StatusOK, fields)
}
