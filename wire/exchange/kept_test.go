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

// rig is an endpoint that answers each request with what say makes of it, and the pool
// that asks it. Moments pass by setting back when a kept connection was in use.
type rig struct {
	*testing.T
	addr ident.Addr
	read atomic.Int64
	pool *Pool
}

func rigged(t *testing.T, set Settings, say func(c *net.TCPConn, n int64)) *rig {
	set.Dial = time.Minute
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &rig{T: t, addr: ident.Addr(l.Addr().String()), pool: New("", set)}
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
					say(c.(*net.TCPConn), r.read.Add(1))
				}
			}()
		}
	}()
	return r
}

const well = "HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length: 2\r\n\r\nhi"

func always(say string) func(*net.TCPConn, int64) {
	return func(c *net.TCPConn, _ int64) { _, _ = c.Write([]byte(say)) }
}

func (r *rig) do(change ...func(*Call)) (bool, *failure.Error) {
	q := Call{Method: "GET", Target: "/", Host: "h", IdHeader: "X-Id", Id: "i", Until: time.Now().Add(time.Minute)}
	for _, f := range change {
		f(&q)
	}
	ret, sent, d := r.pool.Do(context.Background(), r.addr, q)
	must.Eq(r, d == nil, ret != nil)
	return sent, d
}

func (r *rig) well(change ...func(*Call)) {
	sent, d := r.do(change...)
	must.Nil(r, d)
	must.True(r, sent)
}

func (r *rig) idle() []*conn {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if s := r.pool.shelves[r.addr]; s != nil {
		return s.idle
	}
	return nil
}

// aged lets the kept connections have been unused for a span.
func (r *rig) aged(span time.Duration) {
	for _, c := range r.idle() {
		c.used = time.Now().Add(-span)
	}
}

// arrived waits until the end of the only kept connection, or bytes on it, are here.
func (r *rig) arrived() {
	list := r.idle()
	must.SliceLen(r, 1, list)
	c := list[0]
	must.NoError(r, c.SetDeadline(time.Now().Add(time.Minute)))
	must.NoError(r, c.raw.Read(func(fd uintptr) bool { c.what.peek(fd); return !c.what.silent() }))
}

// A kept connection that was closed, reset or spoken on while it was unused is seen
// before the first byte: nothing goes out on it, and another carries the call.
func TestIdleConnectionIsLookedAtBeforeUse(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"spoken": func(c *net.TCPConn) { _, _ = c.Write([]byte(well)) },
		"noise":  func(c *net.TCPConn) { _, _ = c.Write([]byte{0}) },
	} {
		t.Run(name, func(t *testing.T) {
			kept := make(chan *net.TCPConn, 8)
			r := rigged(t, Settings{}, func(c *net.TCPConn, _ int64) { kept <- c; _, _ = c.Write([]byte(well)) })
			r.well()
			end(<-kept)
			r.arrived()
			r.well()
			must.Eq(t, 2, r.pool.Dials())
			must.Eq(t, 2, r.read.Load())
			must.Eq(t, 1, r.pool.Open(r.addr))
		})
	}
}

// How long a connection is kept is what the other end told, less a margin, or else the
// settings' time.
func TestKeepAliveIsHeeded(t *testing.T) {
	told := func(field string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: i\r\n" + field + "Content-Length: 2\r\n\r\nhi"
	}
	for _, c := range []struct {
		field string
		age   time.Duration
		kept  bool
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
			r := rigged(t, Settings{}, always(told(c.field)))
			r.well()
			r.aged(c.age)
			r.well()
			must.Eq(t, map[bool]int{true: 1, false: 2}[c.kept], r.pool.Dials())
			r.aged(time.Hour)
			r.pool.Tidy()
			must.Eq(t, 0, r.pool.Open(r.addr))
		})
	}
}

// What can't be told apart from what follows is not kept.
func TestWhatIsNotKept(t *testing.T) {
	for name, c := range map[string]struct {
		say    string
		method string
		kept   bool
	}{
		"well":          {well, "GET", true},
		"HTTP/1.0":      {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nX-Id: i\r\nContent-Length: 2\r\n\r\nhi", "GET", false},
		"HEAD":          {"HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length: 2\r\n\r\n", "HEAD", false},
		"more after":    {well + "x", "GET", false},
		"another first": {"HTTP/1.1 200 OK\r\nX-Id: o\r\nContent-Length: 2\r\n\r\nho" + well, "GET", false},
		"chunked":       {"HTTP/1.1 200 OK\r\nX-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "GET", true},
		"no content":    {"HTTP/1.1 204 No Content\r\nX-Id: i\r\n\r\n", "GET", true},
		"told length":   {"HTTP/1.1 304 Not Modified\r\nX-Id: i\r\nContent-Length: 2\r\n\r\n", "GET", true},
	} {
		t.Run(name, func(t *testing.T) {
			r := rigged(t, Settings{}, always(c.say))
			r.well(func(q *Call) { q.Method = c.method })
			must.Eq(t, map[bool]int{true: 1, false: 0}[c.kept], r.pool.Open(r.addr))
		})
	}
}

// A sure call takes a connection that was just in use, or a new one; the older one stays
// for others.
func TestSure(t *testing.T) {
	r := rigged(t, Settings{}, always(well))
	sure := func(q *Call) { q.Sure = time.Second }
	r.well(sure)
	r.aged(100 * time.Millisecond)
	r.well(sure)
	must.Eq(t, 1, r.pool.Dials())
	r.aged(2 * time.Second)
	r.well(sure)
	must.Eq(t, 2, r.pool.Dials())
	must.Eq(t, 2, r.pool.Open(r.addr))
	r.aged(2 * time.Second)
	r.well()
	must.Eq(t, 2, r.pool.Dials())
	// At the bound an older one makes room.
	r.aged(2 * time.Second)
	r.well(sure, func(q *Call) { q.Conns = 2 })
	must.Eq(t, 3, r.pool.Dials())
	must.Eq(t, 2, r.pool.Open(r.addr))
}

// The bound of an address holds; who finds it reached is turned away, not sent, or waits
// for a connection, for room, for the end of its time, or for the address to be dropped.
func TestBoundOfAnAddress(t *testing.T) {
	bound := Settings{Conns: 1}
	wait := func(q *Call) { q.Wait = true }
	// held gives a rig whose only connection is in hand, until go on is closed.
	held := func(t *testing.T, say string) (r *rig, goOn chan struct{}, first chan *failure.Error) {
		goOn, read := make(chan struct{}), make(chan struct{}, 8)
		r = rigged(t, bound, func(c *net.TCPConn, n int64) {
			read <- struct{}{}
			if n == 1 {
				<-goOn
			}
			_, _ = c.Write([]byte(say))
		})
		first = make(chan *failure.Error, 1)
		go func() { _, d := r.do(); first <- d }()
		<-read
		return r, goOn, first
	}
	// second waits in line beside the first.
	second := func(r *rig, change ...func(*Call)) chan *failure.Error {
		out := make(chan *failure.Error, 1)
		go func() {
			sent, d := r.do(append(change, wait)...)
			must.Eq(r, d == nil, sent)
			out <- d
		}()
		for waits := false; !waits; runtime.Gosched() {
			r.pool.mu.Lock()
			waits = len(r.pool.shelves[r.addr].line) > 0
			r.pool.mu.Unlock()
		}
		return out
	}
	t.Run("turned away", func(t *testing.T) {
		r, goOn, first := held(t, well)
		sent, d := r.do()
		must.False(t, sent)
		must.Eq(t, failure.Busy, d.Kind)
		must.Eq(t, failure.NotExecuted, d.Outcome)
		close(goOn)
		must.Nil(t, <-first)
		must.Eq(t, 1, r.read.Load())
	})
	t.Run("gets the connection", func(t *testing.T) {
		r, goOn, first := held(t, well)
		next := second(r)
		close(goOn)
		must.Nil(t, <-first)
		must.Nil(t, <-next)
		must.Eq(t, 1, r.pool.Dials())
		must.Eq(t, 1, r.pool.Open(r.addr))
	})
	t.Run("gets the room", func(t *testing.T) {
		r, goOn, first := held(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: i\r\nContent-Length: 2\r\n\r\nhi")
		next := second(r)
		close(goOn)
		must.Nil(t, <-first)
		must.Nil(t, <-next)
		must.Eq(t, 2, r.pool.Dials())
		must.Eq(t, 0, r.pool.Open(r.addr))
	})
	t.Run("a lonely one gets the room", func(t *testing.T) {
		r, goOn, first := held(t, well)
		next := second(r, func(q *Call) { q.Fresh = true })
		close(goOn)
		must.Nil(t, <-first)
		must.Nil(t, <-next)
		must.Eq(t, 2, r.pool.Dials())
		must.Eq(t, 0, r.pool.Open(r.addr))
	})
	t.Run("until its end", func(t *testing.T) {
		r, goOn, first := held(t, well)
		sent, d := r.do(wait, func(q *Call) { q.Until = time.Now().Add(time.Millisecond) })
		must.False(t, sent)
		must.Eq(t, failure.DeadlineExceeded, d.Kind)
		close(goOn)
		must.Nil(t, <-first)
		must.Eq(t, 1, r.pool.Open(r.addr))
		must.SliceLen(t, 1, r.idle())
		r.well()
	})
	t.Run("dropped", func(t *testing.T) {
		r, goOn, first := held(t, well)
		next := second(r)
		r.pool.mu.Lock()
		old := r.pool.shelves[r.addr]
		r.pool.mu.Unlock()
		r.pool.Drop(r.addr)
		must.Eq(t, failure.Unreachable, (<-next).Kind)
		close(goOn)
		must.Nil(t, <-first)
		must.Eq(t, 0, r.pool.Open(r.addr))
		must.Eq(t, 0, old.open)
		must.SliceEmpty(t, old.idle)
		must.Eq(t, 1, r.read.Load())
	})
	t.Run("no listener", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		must.NoError(t, l.Close())
		r := &rig{T: t, addr: ident.Addr(l.Addr().String()), pool: New("", bound)}
		for range 3 {
			sent, d := r.do(wait)
			must.False(t, sent)
			must.Eq(t, failure.Unreachable, d.Kind)
			must.Eq(t, 0, r.pool.Open(r.addr))
		}
	})
}

// Last's no leaves the connection to others; a time that is over is told as not sent.
func TestNothingIsSentAfterANo(t *testing.T) {
	r := rigged(t, Settings{}, always(well))
	r.well()
	sent, d := r.do(func(q *Call) { q.Last = func() *failure.Error { return failure.New(failure.EndpointRejected, "left") } })
	must.False(t, sent)
	must.Eq(t, failure.EndpointRejected, d.Kind)
	sent, d = r.do(func(q *Call) { q.Until = time.Now().Add(-time.Second) })
	must.False(t, sent)
	must.Eq(t, failure.DeadlineExceeded, d.Kind)
	r.well()
	must.Eq(t, 1, r.pool.Dials())
	must.Eq(t, 2, r.read.Load())
}

// A body above the bound is refused before it is read, by either mark of its end.
func TestBoundOfABody(t *testing.T) {
	for name, say := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length: 4\r\n\r\nhigh",
		"chunks": "HTTP/1.1 200 OK\r\nX-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n2\r\ngh\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := rigged(t, Settings{Most: 3}, always(say))
			sent, d := r.do()
			must.True(t, sent)
			must.Eq(t, failure.BadResponse, d.Kind)
			r = rigged(t, Settings{Most: 4}, always(say))
			r.well()
		})
	}
}

// Every connection has the bound on silence.
func TestSilenceIsSet(t *testing.T) {
	r := rigged(t, Settings{Silence: 6 * time.Second}, always(well))
	r.well()
	must.NoError(t, r.idle()[0].raw.Control(func(fd uintptr) {
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
