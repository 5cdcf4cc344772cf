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

// watchResponse is the response to a watch of keys: the events, and the cursor with which the next
// watch, at any core, continues after these events.
type watchResponse struct {
	Events []watch.Event `json:"events"`
	Cursor string        `json:"place"`
}

// keyWatch is one request to watch the keys that begin with a prefix.
type keyWatch struct {
	handlers
	prefix string
	cursor watch.Cursor
	// initial is true if the request has no cursor, so the watcher first receives the current values.
	initial bool
}

// watchKeys waits for changes after a cursor to the keys that begin with a prefix. Without a cursor,
// watchKeys first responds with the current values.
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

// serve responds as soon as there are events, or with no events at the end of the wait.
func (k keyWatch) serve(w http.ResponseWriter, r *http.Request, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		// KeysChanged is called before the read, so that no change between the call and the read is
		// missed.
		changed := k.core.KeysChanged()
		events, err := k.pendingEvents(r.Context())
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
			response.WriteError(w, failure.New(failure.Stopping, "the core is stopping").WithRetryAfter(stoppingRetrySeconds))
			return
		case wakeCanceled:
			return
		}
	}
}

// pendingEvents returns the events after the cursor and advances the cursor past these events.
func (k keyWatch) pendingEvents(ctx context.Context) ([]watch.Event, *failure.Error) {
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
	// Once a read has found any key, the cursor is not empty, and later reads return only changes.
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

// initialEvents returns the current value of a key as one event, or no event if the key is deleted.
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

// changeEvents returns the changes of a key after the cursor as events.
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
