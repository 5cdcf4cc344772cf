package coordination

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/wire/response"
)

// stoppingRetrySeconds is the Retry-After of a watch that ended because the core is stopping.
const stoppingRetrySeconds = 1

// Entry is an entry of a keyspace. Name is the full key, including the name of the keyspace.
type Entry struct {
	Name     string          `json:"name"`
	Value    json.RawMessage `json:"value"`
	Revision ident.Revision  `json:"revision"`
}

// Changes is the response to a watch of a keyspace: the puts after the requested revision, up to and
// including Revision.
type Changes struct {
	Events   []Entry        `json:"events"`
	Revision ident.Revision `json:"revision"`
}

// Put sets the value of an entry. Put fails with Conflict, which contains the entry's revision, with
// Invalid, Oversize or Busy, and with the failures of core.Execute.
func Put(
	ctx context.Context, c *core.Core, key string, value json.RawMessage, ifRevision *ident.Revision, budget time.Duration,
) (Entry, *failure.Error) {
	return executeOnEntry(ctx, c, key, keyspace.PutKind, keyspace.Args{Value: value, IfRevision: ifRevision}, budget)
}

// Get returns an entry that is no older than any put confirmed before the call. Get fails with
// NotFound if the entry does not exist, and with the failures of core.Execute.
func Get(ctx context.Context, c *core.Core, key string, budget time.Duration) (Entry, *failure.Error) {
	return executeOnEntry(ctx, c, key, keyspace.ReadKind, keyspace.Args{}, budget)
}

func executeOnEntry(ctx context.Context, c *core.Core, key, kind string, args keyspace.Args, budget time.Duration) (Entry, *failure.Error) {
	keyspaceName, name := keyspace.SplitKey(key)
	args.Name = name
	result := c.Execute(ctx, proposer.Operation{Key: keyspace.ControlKey(keyspaceName), Kind: kind, Args: operation.Encode(args)}, budget)
	if result.Failure != nil {
		return Entry{}, result.Failure
	}
	var put keyspace.Put
	if err := json.Unmarshal(result.Body, &put); err != nil {
		return Entry{}, failure.NewUnknown(failure.Corrupted, "cannot decode entry %q: %v", key, err)
	}
	return Entry{key, put.Value, put.Revision}, nil
}

// Watch waits for puts to a keyspace after a revision, for at most wait. If after is 0, Watch returns
// the current revision immediately. Each read takes at most budget and includes every put confirmed
// before the read began; a response at the end of the wait is out of date by at most one read and
// one poll interval. Watch fails with Compacted or Stopping, and with the failures of core.Execute.
// Watch never changes any state.
func Watch(ctx context.Context, c *core.Core, name string, after ident.Revision, wait, budget time.Duration) (Changes, *failure.Error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		// KeyChanged is called before the read, so that no change between the call and the read is
		// missed.
		changed := c.KeyChanged(keyspace.ControlKey(name))
		changes, err := changesAfter(ctx, c, name, after, budget)
		if err != nil {
			return Changes{}, err
		}
		if after == 0 || len(changes.Events) > 0 {
			return changes, nil
		}
		switch awaitChange(ctx, c, changed, deadline.C) {
		case wakeRead:
		case wakeDeadline:
			return changes, nil
		case wakeStopping:
			return Changes{}, failure.New(failure.Stopping, "the core is stopping").WithRetryAfter(stoppingRetrySeconds)
		case wakeCanceled:
			return Changes{}, failure.New(failure.DeadlineExceeded, "the request ended before a change to keyspace %q", name)
		}
	}
}

// changesAfter reads the puts to a keyspace after a revision. For revision 0, changesAfter reads only
// the current revision and no puts.
func changesAfter(ctx context.Context, c *core.Core, name string, after ident.Revision, budget time.Duration) (Changes, *failure.Error) {
	var args keyspace.Args
	if after > 0 {
		args.After = &after
	}
	result := c.Execute(ctx, proposer.Operation{
		Key:  keyspace.ControlKey(name),
		Kind: keyspace.SinceKind,
		Args: operation.Encode(args),
	}, budget)
	if result.Failure != nil {
		return Changes{}, result.Failure
	}
	var decoded keyspace.Changes
	if err := json.Unmarshal(result.Body, &decoded); err != nil {
		return Changes{}, failure.New(failure.Corrupted, "cannot decode the changes of keyspace %q: %v", name, err)
	}
	changes := Changes{Events: make([]Entry, len(decoded.Events)), Revision: decoded.Revision}
	for i, put := range decoded.Events {
		changes.Events[i] = Entry{name + put.Name, put.Value, put.Revision}
	}
	return changes, nil
}

func (h handlers) getEntry(w http.ResponseWriter, r *http.Request) {
	key, err := PathName(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	entry, err := Get(r.Context(), h.core, key, requestTimeout)
	respond(w, entry, err)
}

// putEntry sets the value of an entry to the body of the request.
func (h handlers) putEntry(w http.ResponseWriter, r *http.Request) {
	key, err := PathName(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	value, required, err := parseWrite(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	entry, err := Put(r.Context(), h.core, key, value, required, requestTimeout)
	respond(w, entry, err)
}

func (h handlers) watchKeyspace(w http.ResponseWriter, r *http.Request) {
	name, err := PathName(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	after, wait, err := WatchQuery(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	changes, err := Watch(r.Context(), h.core, name, after, wait, requestTimeout)
	respond(w, changes, err)
}

// respond writes the failure if there is one, and otherwise the value.
func respond(w http.ResponseWriter, value any, err *failure.Error) {
	if err != nil {
		response.WriteError(w, err)
		return
	}
	response.WriteJSON(w, http.StatusOK, value)
}
