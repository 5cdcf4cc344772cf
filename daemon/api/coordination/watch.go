package coordination

import (
	"context"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/watch"
	"cottonarch.example/cottonarch/wire/response"
)

// watchResponse is the response to a watch of keys: the events, and the cursor to continue
// after them at any core.
type watchResponse struct {
	Events []watch.Event `json:"events"`
	Cursor string        `json:"place"`
}

// keyWatch is one request to watch the keys below a prefix.
type keyWatch struct {
	handlers
	prefix string
	cursor watch.Cursor
	// initial says that the watcher has seen nothing, so it first receives the current values.
	initial bool
}

// watchKeys waits for changes of the keys below a prefix after a cursor. Without a cursor it
// responds with the current values first.
func (h handlers) watchKeys(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	cursor, err := watch.Decode(query.Get("place"))
	if err != nil {
		response.WriteError(w, err)
		return
	}
	wait, err := watchWait(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	request := keyWatch{handlers: h, prefix: keyPrefix + query.Get("prefix"), cursor: cursor, initial: query.Get("place") == ""}
	request.serve(w, r, wait)
}

// serve responds as soon as there are events, and with none at the end of the wait.
func (k keyWatch) serve(w http.ResponseWriter, r *http.Request, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		// The signal is taken before the read, so that no change between them is missed.
		changed := k.core.KeysChanged()
		events, err := k.events(r.Context())
		if err != nil {
			response.WriteError(w, err)
			return
		}
		if len(events) > 0 {
			response.WriteJSON(w, http.StatusOK, watchResponse{events, k.cursor.Encode()})
			return
		}
		switch awaitChange(r.Context(), k.core, changed, deadline.C) {
		case wakeRead:
		case wakeDeadline:
			response.WriteJSON(w, http.StatusOK, watchResponse{[]watch.Event{}, k.cursor.Encode()})
			return
		case wakeStopping:
			response.WriteError(w, failure.New(failure.Stopping, "the core stops").WithRetryAfter(stoppingRetrySeconds))
			return
		case wakeCanceled:
			return
		}
	}
}

// events returns what changed after the cursor and moves the cursor on.
func (k keyWatch) events(ctx context.Context) ([]watch.Event, *failure.Error) {
	result := k.core.QuorumRead(ctx, k.prefix, false, requestTimeout)
	if result.Failure != nil {
		return nil, result.Failure
	}
	revisions := map[ident.Key]ident.Revision{}
	for controlKey, found := range result.Found {
		revisions[controlKey[len(keyPrefix):]] = found.Record.Revision
	}
	if len(revisions) > maxListedKeys {
		return nil, tooManyKeys()
	}
	// A watcher that has seen a key by now is not new any more.
	initial := k.initial && len(k.cursor) == 0
	var events []watch.Event
	for _, key := range k.cursor.StaleKeys(revisions) {
		eventsOfKey := k.changeEvents
		if initial {
			eventsOfKey = k.initialEvents
		}
		more, err := eventsOfKey(ctx, key)
		if err != nil {
			return nil, err
		}
		events = append(events, more...)
	}
	return events, nil
}

// initialEvents returns the value of a key as one event, none if the key was deleted.
func (k keyWatch) initialEvents(ctx context.Context, key ident.Key) ([]watch.Event, *failure.Error) {
	current, err := k.readThroughProposer(ctx, keyPrefix+key, nil)
	if err != nil {
		return nil, err
	}
	k.cursor[key] = current.Revision
	if current.Deleted {
		return nil, nil
	}
	change := keyvalue.Change{Revision: current.Revision, Value: current.Value}
	return []watch.Event{{Key: key, Change: change}}, nil
}

// changeEvents returns the changes of a key after the cursor.
func (k keyWatch) changeEvents(ctx context.Context, key ident.Key) ([]watch.Event, *failure.Error) {
	since := k.cursor[key]
	current, err := k.readThroughProposer(ctx, keyPrefix+key, &since)
	if err != nil {
		return nil, err
	}
	if _, known := k.cursor[key]; !known && current.Deleted && len(current.Changes) == 0 {
		return nil, nil
	}
	return k.cursor.Advance(key, current)
}
