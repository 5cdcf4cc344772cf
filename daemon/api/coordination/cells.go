package coordination

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/wire/response"
)

// Entry is a cell as it is told outside, under its whole key.
type Entry struct {
	Name     string          `json:"name"`
	Value    json.RawMessage `json:"value"`
	Revision ident.Revision  `json:"revision"`
}

// Changes is what a watch of a group returns.
type Changes struct {
	Events   []Entry        `json:"events"`
	Revision ident.Revision `json:"revision"`
}

// Put puts a cell. Defects: Conflict with the revision the cell has, Invalid, Oversize,
// Busy, and those of core.Deed.
func Put(ctx context.Context, c *core.Core, key string, value json.RawMessage, ifRevision *ident.Revision, budget time.Duration) (Entry, *failure.Error) {
	return execute(ctx, c, key, "group/put", keyspace.Args{Value: value, IfRevision: ifRevision}, budget)
}

// Get reads a cell, no older than any put that was confirmed before the call; Missing
// when it has none.
func Get(ctx context.Context, c *core.Core, key string, budget time.Duration) (Entry, *failure.Error) {
	return execute(ctx, c, key, "group/read", keyspace.Args{}, budget)
}

func execute(ctx context.Context, c *core.Core, key, kind string, args keyspace.Args, budget time.Duration) (Entry, *failure.Error) {
	space, name := keyspace.SplitKey(key)
	args.Name = name
	result := c.Execute(ctx, proposer.Operation{Key: keyspace.ControlKey(space), Kind: kind, Args: operation.Encode(args)}, budget)
	if result.Failure != nil {
		return Entry{}, result.Failure
	}
	var stored keyspace.Put
	if err := json.Unmarshal(result.Body, &stored); err != nil {
		return Entry{}, failure.NewUnknown(failure.Damaged, "cell: %v", err)
	}
	return Entry{key, stored.Value, stored.Revision}, nil
}

// Watch waits for puts of a group after a revision, at most wait; after 0 asks for the
// present revision alone. Each look takes at most budget and is no older than when it
// began; what is told at the end of the wait was read within the last look's time and
// poll. Defects: Forgotten, Stopping, and those of core.Deed; none of them changed
// anything.
func Watch(ctx context.Context, c *core.Core, name string, after ident.Revision, wait, budget time.Duration) (Changes, *failure.Error) {
	controlKey := keyspace.ControlKey(name)
	var args keyspace.Args
	if after > 0 {
		args.After = &after
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		moved := c.KeyChanged(controlKey)
		result := c.Execute(ctx, proposer.Operation{Key: controlKey, Kind: "group/since", Args: operation.Encode(args)}, budget)
		if result.Failure != nil {
			return Changes{}, result.Failure
		}
		var decoded keyspace.Changes
		if err := json.Unmarshal(result.Body, &decoded); err != nil {
			return Changes{}, failure.New(failure.Damaged, "news: %v", err)
		}
		changes := Changes{Events: make([]Entry, len(decoded.Events)), Revision: decoded.Revision}
		for i, put := range decoded.Events {
			changes.Events[i] = Entry{name + put.Name, put.Value, put.Revision}
		}
		if after == 0 || len(changes.Events) > 0 {
			return changes, nil
		}
		nextPoll := time.NewTimer(pollInterval)
		select {
		case <-moved:
			nextPoll.Stop()
		case <-nextPoll.C:
		case <-deadline.C:
			nextPoll.Stop()
			return changes, nil
		case <-c.Stopping():
			nextPoll.Stop()
			return Changes{}, failure.New(failure.Stopping, "the core stops").WithRetryAfter(1)
		case <-ctx.Done():
			nextPoll.Stop()
			return Changes{}, failure.New(failure.DeadlineExceeded, "nobody waits any more")
		}
	}
}

// WatchQuery reads the query of a watch: the revision after which, and how long to wait.
func WatchQuery(r *http.Request) (after ident.Revision, wait time.Duration, parseErr *failure.Error) {
	query := r.URL.Query()
	number := func(name string, fallback uint64, bits int) uint64 {
		text := query.Get(name)
		if text == "" {
			return fallback
		}
		n, err := strconv.ParseUint(text, 10, bits)
		if err != nil {
			parseErr = failure.New(failure.Malformed, "%s is no whole number", name)
		}
		return n
	}
	after = ident.Revision(number("after", 0, 64))
	wait = min(time.Duration(number("waitMs", 20000, 32))*time.Millisecond, maxWatchWait)
	return
}

func (h handlers) getEntry(w http.ResponseWriter, r *http.Request) {
	key, err := PathName(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	respond(w)(Get(r.Context(), h.core, key, requestTimeout))
}

// putEntry puts the body, any JSON, as the cell's value.
func (h handlers) putEntry(w http.ResponseWriter, r *http.Request) {
	key, err := PathName(r)
	data, otherErr := response.ReadBody(r, maxBodyBytes)
	if err == nil {
		err = otherErr
	}
	if err == nil && !json.Valid(data) {
		err = failure.New(failure.Malformed, "the body is no JSON")
	}
	ifRevision, otherErr := ifRevision(r)
	if err == nil {
		err = otherErr
	}
	if err != nil {
		response.WriteError(w, err)
		return
	}
	respond(w)(Put(r.Context(), h.core, key, data, ifRevision, requestTimeout))
}

func (h handlers) watchKeyspace(w http.ResponseWriter, r *http.Request) {
	name, err := PathName(r)
	after, wait, queryErr := WatchQuery(r)
	if err == nil {
		err = queryErr
	}
	if err != nil {
		response.WriteError(w, err)
		return
	}
	changes, err := Watch(r.Context(), h.core, name, after, wait, requestTimeout)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	response.WriteJSON(w, http.StatusOK, changes)
}

func respond(w http.ResponseWriter) func(Entry, *failure.Error) {
	return func(entry Entry, err *failure.Error) {
		if err != nil {
			response.WriteError(w, err)
			return
		}
		response.WriteJSON(w, http.StatusOK, entry)
	}
}
