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

	"cottonarch.example/cottonarch/control/coordination/key"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/watch"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/wire/reply"
	"cottonarch.example/cottonarch/wire/server"
)

const (
	bodyMax  = 80 << 10
	budget   = 4 * time.Second
	watchMax = 60 * time.Second
	poll     = time.Second
	listMax  = 10000
)

var names = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,255}$`)

// Paths is the surface.
func Paths(c *core.Core) server.Paths {
	s := surface{c}
	return server.Paths{
		"/locks/{name:.+}/claim":   {"POST": s.deed("lock", "claim", true)},
		"/locks/{name:.+}/renew":   {"POST": s.deed("lock", "renew", true)},
		"/locks/{name:.+}/release": {"POST": s.deed("lock", "release", true)},
		"/locks/{name:.+}/pass":    {"POST": s.deed("lock", "pass", true)},
		"/locks/{name:.+}":         {"GET": s.deed("lock", "read", false)},
		"/numbers/{name:.+}/next":  {"POST": s.deed("number", "next", true)},
		"/numbers/{name:.+}":       {"GET": s.deed("number", "read", false)},
		"/keys":                    {"GET": s.list},
		"/keys/{name:.+}":          {"GET": s.read, "PUT": s.write, "DELETE": s.remove},
		"/watch":                   {"GET": s.watch},
		"/cells/{name:.+}":         {"GET": s.cell, "PUT": s.put},
		"/groups/{name:.+}":        {"GET": s.group},
	}
}

type surface struct{ c *core.Core }

// Name checks the name in the path; the mesh's own keys are not for applications.
func Name(r *http.Request) (string, *failure.Error) {
	n := mux.Vars(r)["name"]
	if !names.MatchString(n) || strings.HasPrefix(n, "cottonarch.") {
		return "", failure.New(failure.Invalid, "%q is no name: letters, digits and ._:/- up to 256, not beginning with cottonarch.", n)
	}
	return n, nil
}

func (s surface) run(w http.ResponseWriter, r *http.Request, kind, deed string, args any) {
	n, d := Name(r)
	if d != nil {
		reply.Defect(w, d)
		return
	}
	e := s.c.Deed(r.Context(), proposer.Operation{Key: ident.Key(kind + "/" + n), Kind: kind + "/" + deed, Op: ident.Op(r.Header.Get("Idempotency-Key")), Args: operation.Encode(args)}, budget)
	if e.Failure != nil {
		reply.Defect(w, e.Failure)
		return
	}
	var m map[string]any
	if err := json.Unmarshal(e.Body, &m); err != nil {
		reply.Defect(w, failure.New(failure.Damaged, "return: %v", err))
		return
	}
	if deed == "read" && m["deleted"] == true {
		reply.Defect(w, failure.New(failure.Missing, "there is no such key"))
		return
	}
	if _, ok := m["revision"]; !ok {
		m["revision"] = e.Revision
	}
	w.Header().Set("X-Cottonarch-Revision", strconv.FormatUint(uint64(e.Revision), 10))
	reply.JSON(w, http.StatusOK, m)
}

// operation makes a handler whose JSON body is the operation's arguments.
func (s surface) deed(kind, deed string, body bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		args := json.RawMessage("{}")
		if body {
			data, d := reply.Read(r, bodyMax)
			if d == nil && len(data) > 0 && !json.Valid(data) {
				d = failure.New(failure.Malformed, "the body is no JSON")
			}
			if d != nil {
				reply.Defect(w, d)
				return
			}
			if len(data) > 0 {
				args = data
			}
		}
		s.run(w, r, kind, deed, args)
	}
}

func (s surface) read(w http.ResponseWriter, r *http.Request) { s.run(w, r, "key", "read", key.Args{}) }

// base reads the revision that a write builds on.
func base(r *http.Request) (*ident.Revision, *failure.Error) {
	t := r.URL.Query().Get("ifRevision")
	if t == "" {
		return nil, nil
	}
	n, err := strconv.ParseUint(t, 10, 64)
	if err != nil {
		return nil, failure.New(failure.Malformed, "ifRevision is no whole number")
	}
	out := ident.Revision(n)
	return &out, nil
}

// write puts the body, any JSON, as the key's value.
func (s surface) write(w http.ResponseWriter, r *http.Request) {
	data, d := reply.Read(r, bodyMax)
	if d == nil && !json.Valid(data) {
		d = failure.New(failure.Malformed, "the body is no JSON")
	}
	at, e := base(r)
	if d == nil {
		d = e
	}
	if d != nil {
		reply.Defect(w, d)
		return
	}
	s.run(w, r, "key", "write", key.Args{Value: data, If: at})
}

func (s surface) remove(w http.ResponseWriter, r *http.Request) {
	at, d := base(r)
	if d != nil {
		reply.Defect(w, d)
		return
	}
	s.run(w, r, "key", "delete", key.Args{If: at})
}

// Listed is one key in a list.
type Listed struct {
	Key ident.Key `json:"key"`
	key.Reading
}

// list reads all keys below a prefix from a majority; what the majority does not
// agree on is read through its proposer.
func (s surface) list(w http.ResponseWriter, r *http.Request) {
	pre := r.URL.Query().Get("prefix")
	e := s.c.Survey(r.Context(), "key/"+pre, true, budget)
	if e.Failure != nil {
		reply.Defect(w, e.Failure)
		return
	}
	out := []Listed{}
	for k, f := range e.Found {
		var read key.Reading
		if f.Agreed {
			var held key.Key
			if st := operation.State(f.Record.Value); len(st) > 0 {
				if err := json.Unmarshal(st, &held); err != nil {
					reply.Defect(w, failure.New(failure.Damaged, "key %s: %v", k, err))
					return
				}
			}
			now := held.Now()
			read = key.Reading{Revision: now.Revision, Value: now.Value, Deleted: now.Deleted}
		} else {
			var d *failure.Error
			if read, d = s.reading(r.Context(), k, nil); d != nil {
				reply.Defect(w, d)
				return
			}
		}
		if !read.Deleted {
			out = append(out, Listed{Key: k[len("key/"):], Reading: read})
		}
	}
	if len(out) > listMax {
		reply.Defect(w, failure.New(failure.Oversize, "more than %d keys: name a longer prefix", listMax))
		return
	}
	slices.SortFunc(out, func(a, b Listed) int { return strings.Compare(string(a.Key), string(b.Key)) })
	reply.JSON(w, http.StatusOK, map[string]any{"keys": out})
}

func (s surface) reading(ctx context.Context, k ident.Key, since *ident.Revision) (key.Reading, *failure.Error) {
	e := s.c.Deed(ctx, proposer.Operation{Key: k, Kind: "key/read", Args: operation.Encode(key.Args{Since: since})}, budget)
	var out key.Reading
	if e.Failure != nil {
		return out, e.Failure
	}
	if err := json.Unmarshal(e.Body, &out); err != nil {
		return out, failure.New(failure.Damaged, "key %s: %v", k, err)
	}
	return out, nil
}

// watch waits for changes below a prefix after a place. Without a place it tells the
// present state first. A place holds at every core.
func (s surface) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	pre := ident.Key("key/" + q.Get("prefix"))
	spot, d := watch.Decode(q.Get("place"))
	if d != nil {
		reply.Defect(w, d)
		return
	}
	wait := 20 * time.Second
	if t := q.Get("waitMs"); t != "" {
		ms, err := strconv.ParseUint(t, 10, 32)
		if err != nil {
			reply.Defect(w, failure.New(failure.Malformed, "waitMs is no whole number"))
			return
		}
		wait = min(time.Duration(ms)*time.Millisecond, watchMax)
	}
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		signal := s.c.Signal()
		events, d := s.news(r.Context(), pre, spot, q.Get("place") == "" && len(spot) == 0)
		if d != nil {
			reply.Defect(w, d)
			return
		}
		if len(events) > 0 {
			reply.JSON(w, http.StatusOK, map[string]any{"events": events, "place": spot.Encode()})
			return
		}
		again := time.NewTimer(poll)
		select {
		case <-signal:
		case <-again.C:
		case <-over.C:
			again.Stop()
			reply.JSON(w, http.StatusOK, map[string]any{"events": []watch.Event{}, "place": spot.Encode()})
			return
		case <-s.c.Stopping():
			again.Stop()
			reply.Defect(w, failure.New(failure.Stopping, "the core stops").Later(1))
			return
		case <-r.Context().Done():
			again.Stop()
			return
		}
		again.Stop()
	}
}

// news finds what changed after the place and moves the place on.
func (s surface) news(ctx context.Context, pre ident.Key, spot watch.Place, first bool) ([]watch.Event, *failure.Error) {
	e := s.c.Survey(ctx, string(pre), false, budget)
	if e.Failure != nil {
		return nil, e.Failure
	}
	seen := map[ident.Key]ident.Revision{}
	for k, f := range e.Found {
		seen[k[len("key/"):]] = f.Record.Revision
	}
	if len(seen) > listMax {
		return nil, failure.New(failure.Oversize, "more than %d keys: name a longer prefix", listMax)
	}
	events := []watch.Event{}
	for _, k := range spot.Due(seen) {
		if first {
			// A new watcher is told what is, not what was.
			read, d := s.reading(ctx, "key/"+k, nil)
			if d != nil {
				return nil, d
			}
			spot[k] = read.Revision
			if !read.Deleted {
				events = append(events, watch.Event{Key: k, Change: key.Change{Revision: read.Revision, Value: read.Value}})
			}
			continue
		}
		at := spot[k]
		read, d := s.reading(ctx, "key/"+k, &at)
		if d != nil {
			return nil, d
		}
		if _, known := spot[k]; !known && read.Deleted && len(read.Changes) == 0 {
			continue
		}
		told, d := spot.Tell(k, read)
		if d != nil {
			return nil, d
		}
		events = append(events, told...)
	}
	return events, nil
}
