// Package exchange sends one request exactly once and reads its return whole. It
// uses net/http's own reading and writing, but not its client: that one silently
// sends again what broke on a kept connection, which here would be a further try
// that nobody counted, or a second run.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	dialMax = 300 * time.Millisecond
	idleMax = 20 * time.Second
	keepMax = 64
	// inform is how many 1xx returns may come before the real one.
	inform = 8
	// wholeMax is how long the end of a connection is waited for after its one return.
	wholeMax = 10 * time.Millisecond
	// oneWrite is up to where a request leaves in one write; the last byte of a longer
	// one is held back until it is seen that no return came before it.
	oneWrite = 32 << 10
	// ReturnMax is the largest return that is passed on.
	ReturnMax = 16 << 20
)

// Return is a whole return.
type Return struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call is one request. Last is asked just before the first byte, after any dial.
// Invariant: a Fresh call has a connection of its own, which carries nothing before it
// and nothing after it, so what the other end says there can be meant for no other call.
type Call struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	Fresh                bool
	Last                 func() *defect.Defect
}

type conn struct {
	net.Conn
	r    *bufio.Reader
	used time.Time
}

// Pool keeps connections. Invariant: a kept connection has no byte waiting and was
// not closed by the other end when it is taken out.
type Pool struct {
	mu   sync.Mutex
	from net.Addr
	idle map[ident.Addr][]*conn
	gen  map[ident.Addr]int
}

// New makes a pool that dials from the machine's own IP.
func New(own ident.Addr) *Pool {
	return &Pool{from: own.From(), idle: map[ident.Addr][]*conn{}, gen: map[ident.Addr]int{}}
}

// Drop closes the kept connections of an address and keeps none of those in use.
func (p *Pool) Drop(addr ident.Addr) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.gen[addr]++
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

func (p *Pool) take(addr ident.Addr) (*conn, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gen := p.gen[addr]
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if time.Since(c.used) < idleMax && c.silent() {
			return c, gen
		}
		_ = c.Close()
	}
	return nil, gen
}

func (p *Pool) give(addr ident.Addr, c *conn, gen int) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gen[addr] != gen || len(p.idle[addr]) >= keepMax {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// silent tells whether the connection is open with nothing to read.
func (c *conn) silent() bool {
	_, err, ok := c.peek()
	return ok && c.r.Buffered() == 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
}

// gone tells whether the other end has closed with nothing left to read.
func (c *conn) gone() bool {
	n, err, ok := c.peek()
	return c.r.Buffered() == 0 && (!ok || n == 0 && err == nil || err == syscall.ECONNRESET)
}

// peek looks at what waits in the socket without taking it.
func (c *conn) peek() (n int, said error, ok bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0, nil, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, nil, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, said = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return n, said, err == nil
}

type counter struct {
	to   io.Writer
	sent int
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.to.Write(p)
	c.sent += n
	return n, err
}

// Do sends the call once. sent is false only when no byte of it left this process.
func (p *Pool) Do(ctx context.Context, addr ident.Addr, call Call) (ret *Return, sent bool, d *defect.Defect) {
	var c *conn
	var gen int
	if call.Fresh {
		p.mu.Lock()
		gen = p.gen[addr]
		p.mu.Unlock()
	} else {
		c, gen = p.take(addr)
	}
	if c == nil {
		dial := net.Dialer{Timeout: dialMax, LocalAddr: p.from}
		raw, err := dial.DialContext(ctx, "tcp", string(addr))
		if err != nil {
			return nil, false, defect.New(defect.Unreached, "%s takes no connection", addr)
		}
		c = &conn{Conn: raw, r: bufio.NewReaderSize(raw, 16<<10)}
	}
	keep := false
	defer func() {
		if keep {
			p.give(addr, c, gen)
			return
		}
		c.cut()
	}()
	if until, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(until)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req, err := http.NewRequest(call.Method, "http://"+call.Host+"/", bytes.NewReader(call.Body))
	if err != nil {
		return nil, false, defect.New(defect.Malformed, "%v", err)
	}
	if len(call.Body) == 0 {
		req.Body = http.NoBody
	}
	req.Host, req.Header = call.Host, call.Header
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Close = call.Fresh
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	if call.Last != nil {
		if d := call.Last(); d != nil {
			keep = !call.Fresh
			return nil, false, d
		}
	}
	out := &counter{to: c}
	d = c.send(req, call, out)
	if d != nil && out.sent == 0 {
		return nil, false, defect.New(defect.Unreached, "%s took no byte", addr)
	}
	if d != nil {
		return nil, true, d
	}
	ret, whole, d := c.read(req)
	if d != nil {
		return nil, true, d
	}
	if call.Fresh {
		if d := c.over(); d != nil {
			return nil, true, d
		}
		return ret, true, nil
	}
	keep = whole && c.r.Buffered() == 0 && stop()
	if keep {
		_ = c.SetDeadline(time.Time{})
	}
	return ret, true, nil
}

// send writes the request whole. What the other end says before the last byte left is
// no return to this request.
func (c *conn) send(req *http.Request, call Call, out *counter) *defect.Defect {
	var whole bytes.Buffer
	if err := write(req, call, &whole); err != nil {
		return defect.New(defect.Malformed, "%v", err)
	}
	lost := func() *defect.Defect { return defect.Unsure(defect.LostReturn, "the request was broken off") }
	early := func() *defect.Defect {
		return defect.Unsure(defect.BadReturn, "a return came before the request was whole")
	}
	raw := whole.Bytes()
	if !c.silent() {
		if c.gone() {
			return lost()
		}
		return early()
	}
	// A gate may turn a request away before it has read it whole, and is believed; an
	// endpoint, to which every call is Fresh, is not.
	if call.Fresh && len(raw) > oneWrite {
		if _, err := out.Write(raw[:len(raw)-1]); err != nil {
			return lost()
		}
		if !c.silent() {
			if c.gone() {
				return lost()
			}
			return early()
		}
		raw = raw[len(raw)-1:]
	}
	if _, err := out.Write(raw); err != nil {
		return lost()
	}
	return nil
}

// over looks whether anything follows a return that is to be the last: then it is not
// sure where the return ended, nor to which request it was. The other end was asked to
// close after it; one that does not is waited for a moment only.
func (c *conn) over() *defect.Defect {
	_ = c.SetReadDeadline(time.Now().Add(wholeMax))
	if _, err := c.r.Peek(1); err == nil {
		return defect.Unsure(defect.BadReturn, "more came than the return")
	}
	return nil
}

// cut ends a connection at once, so that no port is kept for stray packets.
func (c *conn) cut() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// write puts the target on the wire as it came.
func write(req *http.Request, call Call, w io.Writer) error {
	req.URL.Opaque = call.Target
	if !strings.HasPrefix(call.Target, "/") || strings.HasPrefix(call.Target, "//") {
		req.URL.Opaque = "//" + call.Host + call.Target
	}
	return req.Write(w)
}

// read takes one return in whole.
func (c *conn) read(req *http.Request) (*Return, bool, *defect.Defect) {
	for n := 0; ; n++ {
		res, err := http.ReadResponse(c.r, req)
		if err != nil {
			if t, ok := err.(net.Error); ok && t.Timeout() {
				return nil, false, defect.Unsure(defect.Late, "no return in time")
			}
			if err == io.EOF || err == io.ErrUnexpectedEOF || strings.Contains(err.Error(), "connection reset") {
				return nil, false, defect.Unsure(defect.LostReturn, "the connection ended before the return")
			}
			return nil, false, defect.Unsure(defect.BadReturn, "the return can't be read")
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			if res.StatusCode == http.StatusSwitchingProtocols {
				return nil, false, defect.Unsure(defect.BadReturn, "the return changes the protocol")
			}
			if n >= inform {
				return nil, false, defect.Unsure(defect.BadReturn, "more than %d returns only inform", inform)
			}
			continue
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, ReturnMax+1))
		_ = res.Body.Close()
		if err != nil {
			return nil, false, defect.Unsure(defect.BadReturn, "the return broke off")
		}
		if len(body) > ReturnMax {
			return nil, false, defect.Unsure(defect.BadReturn, "the return is over %d bytes", ReturnMax)
		}
		open := res.ContentLength < 0 && len(res.TransferEncoding) == 0
		if d := check(req, res, body, open); d != nil {
			return nil, false, d
		}
		return &Return{Status: res.StatusCode, Header: res.Header, Body: body}, !res.Close && !open, nil
	}
}

// check refuses what cannot be whole: JSON that is none, and a body whose end
// nothing marks, unless it is JSON and so marks its own.
func check(req *http.Request, res *http.Response, body []byte, open bool) *defect.Defect {
	if req.Method == http.MethodHead || len(body) == 0 && !open {
		return nil
	}
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	isJSON := err == nil && (kind == "application/json" || strings.HasSuffix(kind, "+json"))
	plain := res.Header.Get("Content-Encoding") == ""
	if isJSON && plain && len(body) > 0 && !json.Valid(body) {
		return defect.Unsure(defect.BadReturn, "the return says it is JSON and is not")
	}
	if open && len(body) > 0 && !(isJSON && plain && (body[0] == '{' || body[0] == '[')) {
		return defect.Unsure(defect.BadReturn, "nothing marks where the return ends")
	}
	if open && len(body) == 0 {
		return defect.Unsure(defect.BadReturn, "nothing marks where the return ends")
	}
	return nil
}
