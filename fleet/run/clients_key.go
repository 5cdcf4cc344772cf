package run

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

const (
	watchWait      = 1500 * time.Millisecond // how long a core holds a watch request open without an event
	watchTimeout   = 8 * time.Second
	watchPause     = 100 * time.Millisecond // before a failed watch is retried
	watchRetention = 20 * time.Second       // how long a core must be able to resume a watch's position
)

// keyResponse is a core's response to a read or a write of a key.
type keyResponse struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// readOrWriteKey reads or writes a random key, and checks that the response is not older than the
// newest revision confirmed before the request.
func (c *coordinationClients) readOrWriteKey() {
	key := fmt.Sprintf("k%d", c.randomInt(c.fleet.Deployment.Keys))
	c.mu.Lock()
	confirmed := c.newestRevision[key]
	c.mu.Unlock()
	write := c.randomInt(2) == 0
	var response keyResponse
	var code int
	var err error
	if write {
		code, err = c.writeKey(key, confirmed, &response)
	} else {
		code, err = c.request(http.MethodGet, "/keys/"+key, nil, &response)
	}
	switch {
	case err != nil:
	case code == http.StatusOK:
		c.checkKey(key, confirmed, write, response)
	case code == http.StatusNotFound && !write:
		c.checkMissingKey(key, confirmed)
	}
}

// writeKey writes a new value. Half of the writes are conditional on the key still having the
// confirmed revision.
func (c *coordinationClients) writeKey(key string, confirmed ident.Revision, response *keyResponse) (code int, err error) {
	value := fmt.Sprintf("v%d", time.Now().UnixNano())
	query := ""
	if c.randomInt(2) == 0 {
		query = fmt.Sprintf("?ifRevision=%d", confirmed)
	}
	return c.request(http.MethodPut, "/keys/"+key+query, value, response)
}

func (c *coordinationClients) checkMissingKey(key string, confirmed ident.Revision) {
	c.fleet.recordObservation(ruleStaleRead)
	if confirmed > 0 {
		c.fleet.recordViolation(ruleStaleRead, "key %s is missing, revision %d was confirmed before", key, confirmed)
	}
}

// checkKey checks a response: the revision must not be lower than the revision confirmed before the
// request, the revision of a write must be higher, and each revision has exactly one value.
func (c *coordinationClients) checkKey(key string, confirmed ident.Revision, write bool, response keyResponse) {
	c.fleet.recordObservation(ruleStaleRead)
	id := keyRevision{key, response.Revision}
	value := string(response.Value)
	c.mu.Lock()
	previous, known := c.valueOfRevision[id]
	c.valueOfRevision[id] = value
	c.newestRevision[key] = max(c.newestRevision[key], response.Revision)
	c.mu.Unlock()
	if response.Revision < confirmed || write && response.Revision <= confirmed {
		c.fleet.recordViolation(ruleStaleRead, "key %s has revision %d, revision %d was confirmed before", key, response.Revision, confirmed)
	}
	if known && previous != value {
		c.fleet.recordViolation(ruleSequenceRepeated, "key %s, revision %d: value was %s and is %s", key, response.Revision, previous, value)
	}
}

// keyEvent is one change of a key that a watch reports.
type keyEvent struct {
	Key      string         `json:"key"`
	Revision ident.Revision `json:"revision"`
}

// watchKeys watches all keys, at a random core for each request. No change may be skipped, and the
// cores must be able to resume a position for watchRetention.
func (c *coordinationClients) watchKeys(ctx context.Context) {
	position, lastResponse := "", time.Now()
	seen := map[string]ident.Revision{}
	for ctx.Err() == nil {
		var response struct {
			Position string     `json:"place"`
			Events   []keyEvent `json:"events"`
		}
		path := fmt.Sprintf("/watch?waitMs=%d&prefix=&place=%s", watchWait.Milliseconds(), url.QueryEscape(position))
		code, err := c.randomRunningCore().Request(watchTimeout, http.MethodGet, path, nil, &response)
		if err == nil && code == http.StatusOK {
			position, lastResponse = response.Position, time.Now()
			c.checkEvents(seen, response.Events)
			continue
		}
		if age := time.Since(lastResponse); code == http.StatusGone && age < watchRetention {
			c.fleet.recordViolation(ruleWatchIncomplete, "a watch position %v old was compacted", age)
			position = ""
		}
		c.fleet.sleep(ctx, watchPause)
	}
}

// checkEvents checks that no event was skipped; seen holds the newest revision of each key.
func (c *coordinationClients) checkEvents(seen map[string]ident.Revision, events []keyEvent) {
	for _, event := range events {
		c.fleet.recordObservation(ruleWatchIncomplete)
		if last, ok := seen[event.Key]; ok && event.Revision != last+1 {
			c.fleet.recordViolation(ruleWatchIncomplete, "key %s: watch reported revision %d after revision %d", event.Key, event.Revision, last)
		}
		seen[event.Key] = event.Revision
	}
}
