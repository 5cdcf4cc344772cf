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
	watchWait      = 1500 * time.Millisecond // that a watch waits for an event
	watchTimeout   = 8 * time.Second
	watchPause     = 100 * time.Millisecond // after a watch that failed
	watchRetention = 20 * time.Second       // for which a watch's position must be kept
)

// keyAnswer is a core's answer to a read or a write of a key.
type keyAnswer struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// useKey reads or writes a random key. Nothing older than what was confirmed before may show.
func (c *coordinationClients) useKey() {
	key := fmt.Sprintf("k%d", c.randomInt(c.fleet.Deployment.Keys))
	c.mu.Lock()
	confirmed := c.newestRevision[key]
	c.mu.Unlock()
	write := c.randomInt(2) == 0
	var answer keyAnswer
	var code int
	var err error
	if write {
		code, err = c.writeKey(key, confirmed, &answer)
	} else {
		code, err = c.request(http.MethodGet, "/keys/"+key, nil, &answer)
	}
	switch {
	case err != nil:
	case code == http.StatusOK:
		c.judgeKey(key, confirmed, write, answer)
	case code == http.StatusNotFound && !write:
		c.judgeMissingKey(key, confirmed)
	}
}

// writeKey writes a new value, half of the time on the condition that the key still has the
// confirmed revision.
func (c *coordinationClients) writeKey(key string, confirmed ident.Revision, answer *keyAnswer) (code int, err error) {
	value := fmt.Sprintf("v%d", time.Now().UnixNano())
	query := ""
	if c.randomInt(2) == 0 {
		query = fmt.Sprintf("?ifRevision=%d", confirmed)
	}
	return c.request(http.MethodPut, "/keys/"+key+query, value, answer)
}

func (c *coordinationClients) judgeMissingKey(key string, confirmed ident.Revision) {
	c.fleet.observe(ruleStaleRead)
	if confirmed > 0 {
		c.fleet.violate(ruleStaleRead, "%s is missing, revision %d was confirmed", key, confirmed)
	}
}

// judgeKey judges an answer: its revision must not be below the one confirmed before, a
// write's must be above it, and a revision has one value.
func (c *coordinationClients) judgeKey(key string, confirmed ident.Revision, write bool, answer keyAnswer) {
	c.fleet.observe(ruleStaleRead)
	id := keyRevision{key, answer.Revision}
	value := string(answer.Value)
	c.mu.Lock()
	previous, known := c.valueOfRevision[id]
	c.valueOfRevision[id] = value
	c.newestRevision[key] = max(c.newestRevision[key], answer.Revision)
	c.mu.Unlock()
	if answer.Revision < confirmed || write && answer.Revision <= confirmed {
		c.fleet.violate(ruleStaleRead, "%s shows revision %d, %d was confirmed", key, answer.Revision, confirmed)
	}
	if known && previous != value {
		c.fleet.violate(ruleNumberRepeated, "revision %s/%d was %s and is %s", key, answer.Revision, previous, value)
	}
}

// keyEvent is one change of a key that a watch reports.
type keyEvent struct {
	Key      string         `json:"key"`
	Revision ident.Revision `json:"revision"`
}

// followKeys watches all keys, at a core drawn anew for each request: no change may be left
// out, and a position must be kept for watchRetention.
func (c *coordinationClients) followKeys(ctx context.Context) {
	position, lastAnswer := "", time.Now()
	seen := map[string]ident.Revision{}
	for ctx.Err() == nil {
		var answer struct {
			Position string     `json:"place"`
			Events   []keyEvent `json:"events"`
		}
		path := fmt.Sprintf("/watch?waitMs=%d&prefix=&place=%s", watchWait.Milliseconds(), url.QueryEscape(position))
		code, err := c.anyCore().Request(watchTimeout, http.MethodGet, path, nil, &answer)
		if err == nil && code == http.StatusOK {
			position, lastAnswer = answer.Position, time.Now()
			c.judgeEvents(seen, answer.Events)
			continue
		}
		if age := time.Since(lastAnswer); code == http.StatusGone && age < watchRetention {
			c.fleet.violate(ruleWatchCompacted, "a position that is %v old was compacted", age)
			position = ""
		}
		c.fleet.sleep(ctx, watchPause)
	}
}

// judgeEvents judges that no event was left out; seen is the newest revision of each key.
func (c *coordinationClients) judgeEvents(seen map[string]ident.Revision, events []keyEvent) {
	for _, event := range events {
		c.fleet.observe(ruleWatchCompacted)
		if last, ok := seen[event.Key]; ok && event.Revision != last+1 {
			c.fleet.violate(ruleWatchCompacted, "%s: reported revision %d after %d", event.Key, event.Revision, last)
		}
		seen[event.Key] = event.Revision
	}
}
