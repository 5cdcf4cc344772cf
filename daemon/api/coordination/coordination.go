// Package coordination is the small applications' surface of a core: locks, rising
// numbers, small keys and watches.
package coordination

import (
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/watch"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

const (
	maxBodyBytes   = 80 << 10
	requestTimeout = 4 * time.Second
	maxWatchWait   = 60 * time.Second
	pollInterval   = time.Second
	maxListedKeys  = 10000
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,255}$`)

// Paths is the surface.
func Paths(c *core.Core) server.Paths {
	handlers := handlers{c}
	return server.Paths{
		"/locks/{name:.+}/claim":   {"POST": handlers.operation("lock", "claim", true)},
		"/locks/{name:.+}/renew":   {"POST": handlers.operation("lock", "renew", true)},
		"/locks/{name:.+}/release": {"POST": handlers.operation("lock", "release", true)},
		"/locks/{name:.+}/pass":    {"POST": handlers.operation("lock", "pass", true)},
		"/locks/{name:.+}":         {"GET": handlers.operation("lock", "read", false)},
		"/numbers/{name:.+}/next":  {"POST": handlers.operation("number", "next", true)},
		"/numbers/{name:.+}":       {"GET": handlers.operation("number", "read", false)},
		"/keys":                    {"GET": handlers.listKeys},
		"/keys/{name:.+}":          {"GET": handlers.readKey, "PUT": handlers.writeKey, "DELETE": handlers.removeKey},
		"/watch":                   {"GET": handlers.watchKeys},
		"/cells/{name:.+}":         {"GET": handlers.getEntry, "PUT": handlers.putEntry},
		"/groups/{name:.+}":        {"GET": handlers.watchKeyspace},
	}
}

type handlers struct{ core *core.Core }

// PathName checks the name in the path; the mesh's own keys are not for applications.
func PathName(r *http.Request) (string, *failure.Error) {
	name := mux.Vars(r)["name"]
	if !validName.MatchString(name) || strings.HasPrefix(name, "cottonarch.") {
		return "", failure.New(failure.Invalid, "%q is no name: letters, digits and ._:/- up to 256, not beginning with cottonarch.", name)
	}
	return name, nil
}

func (h handlers) execute(w http.ResponseWriter, r *http.Request, kind, action string, args any) {
	name, err := PathName(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	result := h.core.Execute(r.Context(), proposer.Operation{Key: ident.Key(kind + "/" + name), Kind: kind + "/" + action, Op: ident.OperationID(r.Header.Get("Idempotency-Key")), Args: operation.Encode(args)}, requestTimeout)
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(result.Body, &fields); err != nil {
		response.WriteError(w, failure.New(failure.Damaged, "return: %v", err))
		return
	}
	if action == "read" && fields["deleted"] == true {
		response.WriteError(w, failure.New(failure.NotFound, "there is no such key"))
		return
	}
	if _, ok := fields["revision"]; !ok {
		fields["revision"] = result.Revision
	}
	w.Header().Set("X-Cottonarch-Revision", strconv.FormatUint(uint64(result.Revision), 10))
	response.WriteJSON(w, http.StatusOK, fields)
}

// operation makes a handler whose JSON body is the operation's arguments.
func (h handlers) operation(kind, action string, body bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		args := json.RawMessage("{}")
		if body {
			data, err := response.ReadBody(r, maxBodyBytes)
			if err == nil && len(data) > 0 && !json.Valid(data) {
				err = failure.New(failure.Malformed, "the body is no JSON")
			}
			if err != nil {
				response.WriteError(w, err)
				return
			}
			if len(data) > 0 {
				args = data
			}
		}
		h.execute(w, r, kind, action, args)
	}
}

func (h handlers) readKey(w http.ResponseWriter, r *http.Request) {
	h.execute(w, r, "key", "read", keyvalue.Args{})
}

// ifRevision reads the revision that a write builds on.
func ifRevision(r *http.Request) (*ident.Revision, *failure.Error) {
	text := r.URL.Query().Get("ifRevision")
	if text == "" {
		return nil, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, failure.New(failure.Malformed, "ifRevision is no whole number")
	}
	revision := ident.Revision(number)
	return &revision, nil
}

// writeKey puts the body, any JSON, as the key's value.
func (h handlers) writeKey(w http.ResponseWriter, r *http.Request) {
	data, err := response.ReadBody(r, maxBodyBytes)
	if err == nil && !json.Valid(data) {
		err = failure.New(failure.Malformed, "the body is no JSON")
	}
	ifRevision, revisionErr := ifRevision(r)
	if err == nil {
		err = revisionErr
	}
	if err != nil {
		response.WriteError(w, err)
		return
	}
	h.execute(w, r, "key", "write", keyvalue.Args{Value: data, IfRevision: ifRevision})
}

func (h handlers) removeKey(w http.ResponseWriter, r *http.Request) {
	ifRevision, err := ifRevision(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	h.execute(w, r, "key", "delete", keyvalue.Args{IfRevision: ifRevision})
}

// ListedKey is one key in a list.
type ListedKey struct {
	Key ident.Key `json:"key"`
	keyvalue.Response
}

// listKeys reads all keys below a prefix from a majority; what the majority does not
// agree on is read through its proposer.
func (h handlers) listKeys(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	result := h.core.QuorumRead(r.Context(), "key/"+prefix, true, requestTimeout)
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	listed := []ListedKey{}
	for storedKey, found := range result.Found {
		var keyResponse keyvalue.Response
		if found.Agreed {
			var current keyvalue.State
			if rawState := operation.State(found.Record.Value); len(rawState) > 0 {
				if err := json.Unmarshal(rawState, &current); err != nil {
					response.WriteError(w, failure.New(failure.Damaged, "key %s: %v", storedKey, err))
					return
				}
			}
			latest := current.Latest()
			keyResponse = keyvalue.Response{Revision: latest.Revision, Value: latest.Value, Deleted: latest.Deleted}
		} else {
			var d *failure.Error
			if keyResponse, d = h.readThroughProposer(r.Context(), storedKey, nil); d != nil {
				response.WriteError(w, d)
				return
			}
		}
		if !keyResponse.Deleted {
			listed = append(listed, ListedKey{Key: storedKey[len("key/"):], Response: keyResponse})
		}
	}
	if len(listed) > maxListedKeys {
		response.WriteError(w, failure.New(failure.Oversize, "more than %d keys: name a longer prefix", maxListedKeys))
		return
	}
	slices.SortFunc(listed, func(a, b ListedKey) int { return strings.Compare(string(a.Key), string(b.Key)) })
	response.WriteJSON(w, http.StatusOK, map[string]any{"keys": listed})
}

func (h handlers) readThroughProposer(ctx context.Context, storedKey ident.Key, since *ident.Revision) (keyvalue.Response, *failure.Error) {
	result := h.core.Execute(ctx, proposer.Operation{Key: storedKey, Kind: "key/read", Args: operation.Encode(keyvalue.Args{Since: since})}, requestTimeout)
	var keyResponse keyvalue.Response
	if result.Failure != nil {
		return keyResponse, result.Failure
	}
	if err := json.Unmarshal(result.Body, &keyResponse); err != nil {
		return keyResponse, failure.New(failure.Damaged, "key %s: %v", storedKey, err)
	}
	return keyResponse, nil
}

// watchKeys waits for changes below a prefix after a place. Without a place it tells the
// present state first. A place holds at every core.
func (h handlers) watchKeys(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := ident.Key("key/" + query.Get("prefix"))
	cursor, err := watch.Decode(query.Get("place"))
	if err != nil {
		response.WriteError(w, err)
		return
	}
	wait := 20 * time.Second
	if t := query.Get("waitMs"); t != "" {
		ms, err := strconv.ParseUint(t, 10, 32)
		if err != nil {
			response.WriteError(w, failure.New(failure.Malformed, "waitMs is no whole number"))
			return
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWatchWait)
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		signal := h.core.KeysChanged()
		events, err := h.changesSince(r.Context(), prefix, cursor, query.Get("place") == "" && len(cursor) == 0)
		if err != nil {
			response.WriteError(w, err)
			return
		}
		if len(events) > 0 {
			response.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "place": cursor.Encode()})
			return
		}
		nextPoll := time.NewTimer(pollInterval)
		select {
		case <-signal:
		case <-nextPoll.C:
		case <-deadline.C:
			nextPoll.Stop()
			response.WriteJSON(w, http.StatusOK, map[string]any{"events": []watch.Event{}, "place": cursor.Encode()})
			return
		case <-h.core.Stopping():
			nextPoll.Stop()
			response.WriteError(w, failure.New(failure.Stopping, "the core stops").WithRetryAfter(1))
			return
		case <-r.Context().Done():
			nextPoll.Stop()
			return
		}
		nextPoll.Stop()
	}
}

// changesSince finds what changed after the place and moves the place on.
func (h handlers) changesSince(ctx context.Context, prefix ident.Key, cursor watch.Cursor, first bool) ([]watch.Event, *failure.Error) {
	result := h.core.QuorumRead(ctx, string(prefix), false, requestTimeout)
	if result.Failure != nil {
		return nil, result.Failure
	}
	revisions := map[ident.Key]ident.Revision{}
	for k, found := range result.Found {
		revisions[k[len("key/"):]] = found.Record.Revision
	}
	if len(revisions) > maxListedKeys {
		return nil, failure.New(failure.Oversize, "more than %d keys: name a longer prefix", maxListedKeys)
	}
	events := []watch.Event{}
	for _, k := range cursor.Behind(revisions) {
		if first {
			// A new watcher is told what is, not what was.
			keyResponse, err := h.readThroughProposer(ctx, "key/"+k, nil)
			if err != nil {
				return nil, err
			}
			cursor[k] = keyResponse.Revision
			if !keyResponse.Deleted {
				events = append(events, watch.Event{Key: k, Change: keyvalue.Change{Revision: keyResponse.Revision, Value: keyResponse.Value}})
			}
			continue
		}
		since := cursor[k]
		keyResponse, err := h.readThroughProposer(ctx, "key/"+k, &since)
		if err != nil {
			return nil, err
		}
		if _, known := cursor[k]; !known && keyResponse.Deleted && len(keyResponse.Changes) == 0 {
			continue
		}
		changes, err := cursor.Advance(k, keyResponse)
		if err != nil {
			return nil, err
		}
		events = append(events, changes...)
	}
	return events, nil
}
