package meter

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Traffic holds the messages and bytes received and sent for one path or one peer address. The bytes of a
// path are the sizes of HTTP bodies and of HTTP heads in text form; the bytes of an address are all bytes
// that TCP carried.
type Traffic struct {
	Messages int64 `json:"messages,omitempty"`
	Failed   int64 `json:"failed,omitempty"`
	BytesIn  int64 `json:"in"`
	BytesOut int64 `json:"out"`
}

// Sub returns the increase since an older reading.
func (t Traffic) Sub(older Traffic) Traffic {
	return Traffic{
		Messages: t.Messages - older.Messages,
		Failed:   t.Failed - older.Failed,
		BytesIn:  t.BytesIn - older.BytesIn,
		BytesOut: t.BytesOut - older.BytesOut,
	}
}

// Add returns the sum of both readings.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{
		Messages: t.Messages + other.Messages,
		Failed:   t.Failed + other.Failed,
		BytesIn:  t.BytesIn + other.BytesIn,
		BytesOut: t.BytesOut + other.BytesOut,
	}
}

// Bytes returns the number of bytes in both directions.
func (t Traffic) Bytes() float64 { return float64(t.BytesIn + t.BytesOut) }

// Subtract subtracts an older reading from a newer reading by name, and omits names without a change.
func Subtract(newer, older map[string]Traffic) map[string]Traffic {
	out := map[string]Traffic{}
	for name, traffic := range newer {
		if difference := traffic.Sub(older[name]); difference != (Traffic{}) {
			out[name] = difference
		}
	}
	return out
}

// Sum adds two readings by name.
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

// counterTable holds counters by path or address. Invariant: a name's counter is never replaced.
type counterTable struct {
	mu     sync.RWMutex
	byName map[string]*trafficCounter
}

// counter returns the counter of a name, which is created if necessary.
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
