package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"github.com/shoenig/test/must"
)

// harness is an endpoint that answers each request by calling a function, and a pool that calls the
// endpoint. A test simulates idle time by moving lastUsed of the idle connections into the past.
type harness struct {
	*testing.T
	addr         ident.Addr
	requestsRead atomic.Int64
	pool         *Pool
}

func newHarness(t *testing.T, settings Settings, respond func(c *net.TCPConn, n int64)) *harness {
	settings.DialTimeout = time.Minute
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &harness{T: t, addr: ident.Addr(l.Addr().String()), pool: New("", settings)}
	t.Cleanup(func() { r.pool.Drop(r.addr); _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					respond(c.(*net.TCPConn), r.requestsRead.Add(1))
				}
			}()
		}
	}()
	return r
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length: 2\r\n\r\nhi"

func respondAlways(response string) func(*net.TCPConn, int64) {
	return func(c *net.TCPConn, _ int64) { _, _ = c.Write([]byte(response)) }
}

func (r *harness) do(change ...func(*Call)) (bool, *failure.Error) {
	call := Call{Method: "GET", Target: "/", Host: "h", IDHeader: "X-Id", ID: "i", Deadline: time.Now().Add(time.Minute)}
	for _, f := range change {
		f(&call)
	}
	response, sent, fail := r.pool.Do(context.Background(), r.addr, call)
	must.Eq(r, fail == nil, response != nil)
	return sent, fail
}

func (r *harness) mustSucceed(change ...func(*Call)) {
	sent, fail := r.do(change...)
	must.Nil(r, fail)
	must.True(r, sent)
}

func (r *harness) idle() []*conn {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if s := r.pool.hosts[r.addr]; s != nil {
		return s.idle
	}
	return nil
}

// ageIdle makes all idle connections appear to have been idle for the given time.
func (r *harness) ageIdle(age time.Duration) {
	for _, c := range r.idle() {
		c.lastUsed = time.Now().Add(-age)
	}
}

// awaitInput waits until the only idle connection is closed or has unread bytes.
func (r *harness) awaitInput() {
	list := r.idle()
	must.SliceLen(r, 1, list)
	c := list[0]
	must.NoError(r, c.SetDeadline(time.Now().Add(time.Minute)))
	must.NoError(r, c.rawConn.Read(func(fd uintptr) bool { c.op.peek(fd); return !c.op.wouldBlock() }))
}

// An idle connection that was closed or reset, or that has unread bytes, is detected before the first
// byte of a request is written: nothing is sent on that connection, and another connection carries
// the call.
func TestIdleConnectionIsCheckedBeforeUse(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"closed":   func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset":    func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"response": func(c *net.TCPConn) { _, _ = c.Write([]byte(okResponse)) },
		"noise":    func(c *net.TCPConn) { _, _ = c.Write([]byte{0}) },
	} {
		t.Run(name, func(t *testing.T) {
			accepted := make(chan *net.TCPConn, 8)
			r := newHarness(t, Settings{}, func(c *net.TCPConn, _ int64) { accepted <- c; _, _ = c.Write([]byte(okResponse)) })
			r.mustSucceed()
			end(<-accepted)
			r.awaitInput()
			r.mustSucceed()
			must.Eq(t, 2, r.pool.Dials())
			must.Eq(t, 2, r.requestsRead.Load())
			must.Eq(t, 1, r.pool.OpenConns(r.addr))
		})
	}
}

// A connection is reused until the keep-alive timeout of the peer, less KeepAliveMargin, or, without
// a keep-alive timeout, until Settings.IdleTimeout.
func TestKeepAliveTimeoutIsHonored(t *testing.T) {
	withField := func(field string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: i\r\n" + field + "Content-Length: 2\r\n\r\nhi"
	}
	for _, c := range []struct {
		field  string
		age    time.Duration
		reused bool
	}{
		{"", 7 * time.Second, true},
		{"", 9 * time.Second, false},
		{"Keep-Alive: timeout=5, max=100\r\n", 4 * time.Second, true},
		{"Keep-Alive: timeout=5, max=100\r\n", 4600 * time.Millisecond, false},
		{"Keep-Alive: max=3,Timeout = 60\r\n", 50 * time.Second, true},
		{"Keep-Alive: timeout=0\r\n", 0, false},
		{"Keep-Alive: timeout=-5\r\n", 7 * time.Second, true},
		{"Connection: keep-alive\r\n", 7 * time.Second, true},
		{"Connection: close\r\n", 0, false},
		{"Connection: x, Close\r\n", 0, false},
	} {
		t.Run(fmt.Sprintf("%q %v", c.field, c.age), func(t *testing.T) {
			r := newHarness(t, Settings{}, respondAlways(withField(c.field)))
			r.mustSucceed()
			r.ageIdle(c.age)
			r.mustSucceed()
			must.Eq(t, map[bool]int{true: 1, false: 2}[c.reused], r.pool.Dials())
			r.ageIdle(time.Hour)
			r.pool.CloseExpired()
			must.Eq(t, 0, r.pool.OpenConns(r.addr))
		})
	}
}

// A connection is not reused after a response whose end is ambiguous.
func TestConnectionIsNotReusedAfterAmbiguousEnd(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		method   string
		reused   bool
	}{
		"valid":           {okResponse, "GET", true},
		"HTTP/1.0":        {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nX-Id: i\r\nContent-Length: 2\r\n\r\nhi", "GET", false},
		"HEAD":            {"HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length: 2\r\n\r\n", "HEAD", false},
		"more after":      {okResponse + "x", "GET", false},
		"another first":   {"HTTP/1.1 200 OK\r\nX-Id: o\r\nContent-Length: 2\r\n\r\nho" + okResponse, "GET", false},
		"chunked":         {"HTTP/1.1 200 OK\r\nX-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "GET", true},
		"no content":      {"HTTP/1.1 204 No Content\r\nX-Id: i\r\n\r\n", "GET", true},
		"304 with length": {"HTTP/1.1 304 Not Modified\r\nX-Id: i\r\nContent-Length: 2\r\n\r\n", "GET", true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, Settings{}, respondAlways(c.response))
			r.mustSucceed(func(call *Call) { call.Method = c.method })
			must.Eq(t, map[bool]int{true: 1, false: 0}[c.reused], r.pool.OpenConns(r.addr))
		})
	}
}

// A call with MaxIdleAge uses a connection that has been idle for less than MaxIdleAge, or a new
// connection. Older connections remain available to other calls.
func TestMaxIdleAge(t *testing.T) {
	r := newHarness(t, Settings{}, respondAlways(okResponse))
	recentOnly := func(call *Call) { call.MaxIdleAge = time.Second }
	r.mustSucceed(recentOnly)
	r.ageIdle(100 * time.Millisecond)
	r.mustSucceed(recentOnly)
	must.Eq(t, 1, r.pool.Dials())
	r.ageIdle(2 * time.Second)
	r.mustSucceed(recentOnly)
	must.Eq(t, 2, r.pool.Dials())
	must.Eq(t, 2, r.pool.OpenConns(r.addr))
	r.ageIdle(2 * time.Second)
	r.mustSucceed()
	must.Eq(t, 2, r.pool.Dials())
	// At the connection limit, an older connection is evicted for a new one.
	r.ageIdle(2 * time.Second)
	r.mustSucceed(recentOnly, func(call *Call) { call.MaxConns = 2 })
	must.Eq(t, 3, r.pool.Dials())
	must.Eq(t, 2, r.pool.OpenConns(r.addr))
}

var oneConn = Settings{MaxConns: 1}

func waitForConn(call *Call) { call.WaitForConn = true }

// newBusyHarness returns a harness whose only connection is in use until release is closed. The
// failure of the call that uses the connection is sent to first.
func newBusyHarness(t *testing.T, response string) (r *harness, release chan struct{}, first chan *failure.Error) {
	release, read := make(chan struct{}), make(chan struct{}, 8)
	r = newHarness(t, oneConn, func(c *net.TCPConn, n int64) {
		read <- struct{}{}
		if n == 1 {
			<-release
		}
		_, _ = c.Write([]byte(response))
	})
	first = make(chan *failure.Error, 1)
	go func() { _, fail := r.do(); first <- fail }()
	<-read
	return r, release, first
}

// startWaiting starts a call that waits for a connection, and returns when the call is in the queue.
func (r *harness) startWaiting(change ...func(*Call)) chan *failure.Error {
	ended := make(chan *failure.Error, 1)
	go func() {
		sent, fail := r.do(append(change, waitForConn)...)
		must.Eq(r, fail == nil, sent)
		ended <- fail
	}()
	for waits := false; !waits; runtime.Gosched() {
		r.pool.mu.Lock()
		waits = len(r.pool.hosts[r.addr].waiters) > 0
		r.pool.mu.Unlock()
	}
	return ended
}

// The pool never exceeds the connection limit of an address. A call at the limit is rejected without
// being sent or, with WaitForConn, waits until the call receives a connection or a slot, the deadline
// passes or the address is dropped.
func TestConnectionLimitOfAnAddress(t *testing.T) {
	t.Run("rejected", testBusyAddressRejects)
	t.Run("gets the connection", testWaiterGetsTheConnection)
	t.Run("gets the slot", testWaiterGetsTheSlot)
	t.Run("a single-use call gets the slot", testSingleUseWaiterGetsTheSlot)
	t.Run("until its deadline", testWaiterFailsAtItsDeadline)
	t.Run("dropped", testWaiterOfADroppedAddressFails)
	t.Run("no listener", testFailedDialFreesItsSlot)
}

func testBusyAddressRejects(t *testing.T) {
	r, release, first := newBusyHarness(t, okResponse)
	sent, fail := r.do()
	must.False(t, sent)
	must.Eq(t, failure.Busy, fail.Kind)
	must.Eq(t, failure.NotExecuted, fail.Outcome)
	close(release)
	must.Nil(t, <-first)
	must.Eq(t, 1, r.requestsRead.Load())
}

func testWaiterGetsTheConnection(t *testing.T) {
	r, release, first := newBusyHarness(t, okResponse)
	next := r.startWaiting()
	close(release)
	must.Nil(t, <-first)
	must.Nil(t, <-next)
	must.Eq(t, 1, r.pool.Dials())
	must.Eq(t, 1, r.pool.OpenConns(r.addr))
}

func testWaiterGetsTheSlot(t *testing.T) {
	r, release, first := newBusyHarness(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: i\r\nContent-Length: 2\r\n\r\nhi")
	next := r.startWaiting()
	close(release)
	must.Nil(t, <-first)
	must.Nil(t, <-next)
	must.Eq(t, 2, r.pool.Dials())
	must.Eq(t, 0, r.pool.OpenConns(r.addr))
}

func testSingleUseWaiterGetsTheSlot(t *testing.T) {
	r, release, first := newBusyHarness(t, okResponse)
	next := r.startWaiting(func(call *Call) { call.SingleUse = true })
	close(release)
	must.Nil(t, <-first)
	must.Nil(t, <-next)
	must.Eq(t, 2, r.pool.Dials())
	must.Eq(t, 0, r.pool.OpenConns(r.addr))
}

func testWaiterFailsAtItsDeadline(t *testing.T) {
	r, release, first := newBusyHarness(t, okResponse)
	sent, fail := r.do(waitForConn, func(call *Call) { call.Deadline = time.Now().Add(time.Millisecond) })
	must.False(t, sent)
	must.Eq(t, failure.DeadlineExceeded, fail.Kind)
	close(release)
	must.Nil(t, <-first)
	must.Eq(t, 1, r.pool.OpenConns(r.addr))
	must.SliceLen(t, 1, r.idle())
	r.mustSucceed()
}

func testWaiterOfADroppedAddressFails(t *testing.T) {
	r, release, first := newBusyHarness(t, okResponse)
	next := r.startWaiting()
	r.pool.mu.Lock()
	old := r.pool.hosts[r.addr]
	r.pool.mu.Unlock()
	r.pool.Drop(r.addr)
	must.Eq(t, failure.Unreachable, (<-next).Kind)
	close(release)
	must.Nil(t, <-first)
	must.Eq(t, 0, r.pool.OpenConns(r.addr))
	must.Eq(t, 0, old.openCount)
	must.SliceEmpty(t, old.idle)
	must.Eq(t, 1, r.requestsRead.Load())
}

func testFailedDialFreesItsSlot(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	r := &harness{T: t, addr: ident.Addr(l.Addr().String()), pool: New("", oneConn)}
	for range 3 {
		sent, fail := r.do(waitForConn)
		must.False(t, sent)
		must.Eq(t, failure.Unreachable, fail.Kind)
		must.Eq(t, 0, r.pool.OpenConns(r.addr))
	}
}

// After a rejection by BeforeSend, the connection remains available to other calls. A call whose
// deadline has passed is reported as not sent.
func TestNothingIsSentAfterRejection(t *testing.T) {
	r := newHarness(t, Settings{}, respondAlways(okResponse))
	r.mustSucceed()
	sent, fail := r.do(func(call *Call) {
		call.BeforeSend = func() *failure.Error { return failure.New(failure.EndpointRejected, "left") }
	})
	must.False(t, sent)
	must.Eq(t, failure.EndpointRejected, fail.Kind)
	sent, fail = r.do(func(call *Call) { call.Deadline = time.Now().Add(-time.Second) })
	must.False(t, sent)
	must.Eq(t, failure.DeadlineExceeded, fail.Kind)
	r.mustSucceed()
	must.Eq(t, 1, r.pool.Dials())
	must.Eq(t, 2, r.requestsRead.Load())
}

// A response body above the limit is rejected, whether the body has a length or chunks.
func TestResponseBodyLimit(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length: 4\r\n\r\nhigh",
		"chunks": "HTTP/1.1 200 OK\r\nX-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n2\r\ngh\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, Settings{MaxBodyBytes: 3}, respondAlways(text))
			sent, fail := r.do()
			must.True(t, sent)
			must.Eq(t, failure.BadResponse, fail.Kind)
			r = newHarness(t, Settings{MaxBodyBytes: 4}, respondAlways(text))
			r.mustSucceed()
		})
	}
}

// Every dialed connection has the socket options for unresponsive peers.
func TestDeadPeerTimeoutIsSet(t *testing.T) {
	r := newHarness(t, Settings{DeadPeerTimeout: 6 * time.Second}, respondAlways(okResponse))
	r.mustSucceed()
	must.NoError(t, r.idle()[0].rawConn.Control(func(fd uintptr) {
		for _, v := range []struct{ level, name, want int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 6000}, {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 2}, {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 2},
		} {
			got, err := unix.GetsockoptInt(int(fd), v.level, v.name)
			must.NoError(t, err)
			must.Eq(t, v.want, got)
		}
	}))
}
