package meter

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Traffic is the messages and bytes that one path or one address received and sent. Bytes of a path
// are those of bodies and of heads as text; bytes of an address are all that TCP carried.
type Traffic struct {
	Messages int64 `json:"messages,omitempty"`
	Failed   int64 `json:"failed,omitempty"`
	BytesIn  int64 `json:"in"`
	BytesOut int64 `json:"out"`
}

// Sub is the increase since an older reading.
func (t Traffic) Sub(older Traffic) Traffic {
	return Traffic{
		Messages: t.Messages - older.Messages,
		Failed:   t.Failed - older.Failed,
		BytesIn:  t.BytesIn - older.BytesIn,
		BytesOut: t.BytesOut - older.BytesOut,
	}
}

// Add is the sum of both.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{
		Messages: t.Messages + other.Messages,
		Failed:   t.Failed + other.Failed,
		BytesIn:  t.BytesIn + other.BytesIn,
		BytesOut: t.BytesOut + other.BytesOut,
	}
}

// Bytes is the bytes in both directions.
func (t Traffic) Bytes() float64 { return float64(t.BytesIn + t.BytesOut) }

// Subtract takes an older reading off a newer one, and leaves out what did not change.
func Subtract(newer, older map[string]Traffic) map[string]Traffic {
	out := map[string]Traffic{}
	for name, traffic := range newer {
		if difference := traffic.Sub(older[name]); difference != (Traffic{}) {
			out[name] = difference
		}
	}
	return out
}

// Sum adds two readings name by name.
func Sum(a, b map[string]Traffic) map[string]Traffic {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]Traffic{}
	}
	for name, traffic := range b {
		out[name] = out[name].Add(traffic)
	}
	return out
}

// trafficCounter counts the traffic of one path or address.
type trafficCounter struct{ messages, failed, bytesIn, bytesOut atomic.Int64 }

func (c *trafficCounter) read() Traffic {
	return Traffic{c.messages.Load(), c.failed.Load(), c.bytesIn.Load(), c.bytesOut.Load()}
}

// counterTable is counters by path or address. Invariant: a name's counter is never replaced.
type counterTable struct {
	mu     sync.RWMutex
	byName map[string]*trafficCounter
}

// counter finds a name's counter, or makes it.
func (t *counterTable) counter(name string) *trafficCounter {
	t.mu.RLock()
	c := t.byName[name]
	t.mu.RUnlock()
	if c != nil {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byName == nil {
		t.byName = map[string]*trafficCounter{}
	}
	if c = t.byName[name]; c == nil {
		c = &trafficCounter{}
		t.byName[name] = c
	}
	return c
}

func (t *counterTable) read() map[string]Traffic {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[string]Traffic{}
	for name, c := range t.byName {
		out[name] = c.read()
	}
	return out
}
