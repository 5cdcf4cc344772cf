// Package exchange sends one request exactly once and reads its return whole. It
// reads heads with net/textproto and chunks with net/http's own reader, but does not
// use net/http's client: that one silently sends again what broke on a kept
// connection, which here would be a further try that nobody counted, or a second run.
package exchange

import (
	"context"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// Settings bound a Pool. What is zero takes the default named with it.
type Settings struct {
	// Dial is the longest a new connection may take to come up: 300 ms.
	Dial time.Duration
	// Idle is how long an unused connection is kept when its other end has not told a
	// time of its own: 8 s.
	Idle time.Duration
	// Margin is taken off the time that the other end told by Keep-Alive, so that a
	// request does not meet the close on its way: 0.5 s.
	Margin time.Duration
	// Silence is how long sent bytes may stay unacknowledged, or probes unanswered,
	// before the connection is given up: 3 s. Probes go by whole seconds.
	Silence time.Duration
	// Conns is the most open connections to one address at once; 0 sets no bound.
	Conns int
	// Keep is the most unused connections kept for one address: 64.
	Keep int
	// Most is the largest body of a return, in bytes: ReturnMax.
	Most int
}

// ReturnMax is the largest body of a return that is passed on, when nothing else is set.
const ReturnMax = 16 << 20

func (s Settings) filled() Settings {
	for _, v := range []struct {
		at  *time.Duration
		std time.Duration
	}{{&s.Dial, 300 * time.Millisecond}, {&s.Idle, 8 * time.Second}, {&s.Margin, 500 * time.Millisecond}, {&s.Silence, 3 * time.Second}} {
		if *v.at == 0 {
			*v.at = v.std
		}
	}
	if s.Keep == 0 {
		s.Keep = 64
	}
	if s.Most == 0 {
		s.Most = ReturnMax
	}
	return s
}

// Return is a whole return. Header holds none of the headers that belong to one
// connection, but Content-Length as it came. Both are the caller's own.
type Return struct {
	Status int
	Header http.Header
	Body   []byte
}

// Field is one header field.
type Field struct{ Name, Value string }

// Call is one request. Header and Body are only read, so several calls may share them.
// Headers that belong to one connection are never passed on, whoever set them.
type Call struct {
	Method, Target, Host string
	Header               http.Header
	// Set is laid over Header: each field stands in place of all of that name; an empty
	// value takes the name out.
	Set  []Field
	Body []byte
	// IdHeader and Id: the request carries them, and only a return that echoes them is
	// this call's own. A whole return of another id that comes first is read past, a few
	// times. Without IdHeader the order on the connection alone tells whose a return is:
	// then nothing is sure about an end that speaks unasked.
	IdHeader, Id string
	// Seal is a header without which a 2xx is no return.
	Seal string
	// Plain says that the body was asked for without encoding: an encoded one is no return.
	Plain bool
	// Fresh asks for a connection that carries this call only and is closed after it.
	Fresh bool
	// Sure asks for a connection that was in use within this span, or else a new one:
	// for calls that may not be repeated. 0 takes any kept connection.
	Sure time.Duration
	// Conns, when above 0, stands in place of the settings' bound for this address.
	Conns int
	// Wait lets the call wait, up to its end, while the bound is reached. Else it is
	// turned away at once as Busy, not sent.
	Wait bool
	// Expect has a body that does not leave in one piece with the head asked for first: it is
	// sent once the other end wants it. The other end must act on no request whose body it
	// has not read.
	Expect bool
	// Until is the moment the call ends, beside the context's own; a Background context
	// with Until costs least.
	Until time.Time
	// Last is asked just before the first byte, after any dial.
	Last func() *failure.Error
}

// Do sends the call once. sent is false only when no byte of it left this process;
// whatever is told after a byte left, other than a return, has an unknown outcome.
// Defects: Malformed, Unreached, Busy and those of Last are not sent; Late may be
// either; LostReturn and BadReturn were sent.
func (p *Pool) Do(ctx context.Context, addr ident.Addr, call Call) (ret *Return, sent bool, d *failure.Error) {
	if until, ok := ctx.Deadline(); ok && (call.Until.IsZero() || until.Before(call.Until)) {
		call.Until = until
	}
	w := writes.Get().(*writing)
	defer w.done()
	if d := w.fill(&call); d != nil {
		return nil, false, d
	}
	for {
		c, kept, d := p.take(ctx, addr, &call)
		if d != nil {
			return nil, false, d
		}
		end := c.carry(ctx, &call, w)
		p.give(c, end.keep)
		if kept && end.shut {
			continue // not a byte left: another connection may carry it
		}
		return end.ret, end.sent, end.d
	}
}

// ending is what became of a call on one connection. Invariant: sent is false only if
// no byte left; shut implies not sent and says that the connection took nothing.
type ending struct {
	ret              *Return
	sent, keep, shut bool
	d                *failure.Error
}

// carry asks Last, writes the request and reads its return.
func (c *conn) carry(ctx context.Context, call *Call, w *writing) (end ending) {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		defer func() { end.keep = stop() && end.keep }()
	}
	if call.Last != nil {
		if d := call.Last(); d != nil {
			return ending{d: d, keep: !call.Fresh}
		}
	}
	sent, d, shut := 0, (*failure.Error)(nil), false
	if call.Expect && len(w.body) > 0 {
		if end, may := c.askFirst(call, w); !may {
			return end
		}
		sent, d = c.put(w.body, nil)
	} else {
		sent, d, shut = c.send(call, w)
	}
	if shut {
		return c.shutEnding()
	}
	if d != nil && sent == 0 {
		return ending{d: d}
	}
	believe := call.IdHeader != "" || !call.Fresh
	if d != nil && !believe {
		return ending{sent: true, d: d}
	}
	// Who turns a request away may do so before it is whole, and close: what it said is
	// still there to read, and its id tells that it is meant for this call.
	c.openReader()
	defer c.closeReader()
	ret, keep, bad := c.in.read(call, c.shelf.set.Most, c.restFor)
	if bad == nil && call.Fresh && call.IdHeader == "" {
		bad = c.over()
	}
	keep = keep && d == nil && c.in.Buffered() == 0
	if bad != nil {
		if d != nil {
			bad = d
		}
		return ending{sent: true, d: bad}
	}
	return ending{ret: ret, sent: true, keep: keep && !call.Fresh}
}
