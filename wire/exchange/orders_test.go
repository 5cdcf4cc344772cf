package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/exchange"
	"github.com/shoenig/test/must"
)

// fate is what must become of a request that an endpoint has read.
type fate int

const (
	own  fate = iota // the caller gets its own return
	lost             // it gets none, and what became of it is unknown
)

// move is what an endpoint does with one request that it has read whole; past holds the
// returns that it gave before. ends says that it then ends the connection, and how.
type move struct {
	name string
	say  func(id string, past []string) string
	fate fate
	ends ends
}

type ends int

const (
	stays ends = iota
	closes
	resets
	forgets // resets once the next bytes come, which are not read
)

func copyOf(past []string) string {
	if len(past) == 0 {
		return told("before")
	}
	return told(past[len(past)-1])
}

func alone(id string, _ []string) string { return told(id) }

func cutAt(part func(say string) int) func(string, []string) string {
	return func(id string, _ []string) string { return told(id)[:part(told(id))] }
}

var moves = []move{
	{"own", alone, own, stays},
	{"late copy first", func(id string, past []string) string { return copyOf(past) + told(id) }, own, stays},
	{"late copy after", func(id string, past []string) string { return told(id) + copyOf(past) }, own, stays},
	{"doubled", func(id string, _ []string) string { return told(id) + told(id) }, own, stays},
	{"foreign first", func(id string, _ []string) string { return told("foreign") + told(id) }, own, stays},
	{"foreign only", func(string, []string) string { return told("foreign") }, lost, closes},
	{"no id", func(id string, _ []string) string { return strings.Replace(told(id), idName, "X-Other", 1) }, lost, stays},
	{"garbage after", func(id string, _ []string) string { return told(id) + "\x00\x01 garbage\r\n" }, own, stays},
	{"garbage instead", func(string, []string) string { return "\x00\x01 garbage\r\n" }, lost, stays},
	{"cut in the head", cutAt(func(say string) int { return strings.Index(say, "Content-Length") + 4 }), lost, closes},
	{"cut in the body", cutAt(func(say string) int { return len(say) - 3 }), lost, resets},
	{"early close", func(string, []string) string { return "" }, lost, closes},
	{"closed after", alone, own, closes},
	{"reset when idle", alone, own, resets},
	{"forgotten when idle", alone, own, forgets},
}

// endpoint plays one move a request, in the order of its script, whatever the connection.
type endpoint struct {
	mu     sync.Mutex
	script []move
	past   []string
	read   map[string]int
	at     net.Listener
}

func (e *endpoint) serve() {
	for {
		c, err := e.at.Accept()
		if err != nil {
			return
		}
		go e.play(c.(*net.TCPConn))
	}
}

func (e *endpoint) play(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		id, ok := readId(r)
		if !ok {
			return
		}
		e.mu.Lock()
		e.read[id]++
		m := e.script[0]
		e.script = e.script[1:]
		say := m.say(id, e.past)
		e.past = append(e.past, id)
		e.mu.Unlock()
		_, _ = c.Write([]byte(say))
		switch m.ends {
		case closes:
			return
		case forgets:
			_, _ = r.Peek(1)
			fallthrough
		case resets:
			_ = c.SetLinger(0)
			return
		}
	}
}

// All orders of three of an endpoint's moves, on kept connections: each caller gets its
// own return or none; the return that came whole, with its own id, always reaches its
// caller; no request is written twice, and what is told as not sent was not read.
func TestAllOrdersOfAnEndpointsMoves(t *testing.T) {
	for a := range moves {
		t.Run(moves[a].name, func(t *testing.T) {
			t.Parallel()
			for b := range moves {
				for c := range moves {
					order(t, []move{moves[a], moves[b], moves[c]})
				}
			}
		})
	}
}

func order(t *testing.T, script []move) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	e := &endpoint{script: append(script[:len(script):len(script)], moves[0], moves[0], moves[0]), read: map[string]int{}, at: l}
	go e.serve()
	p := exchange.New("", patient)
	addr := ident.Addr(l.Addr().String())
	defer func() { p.Drop(addr); _ = l.Close() }()
	for n := range script {
		id := fmt.Sprintf("r%d", n)
		e.mu.Lock()
		m := e.script[0]
		e.mu.Unlock()
		ret, sent, d := do(t, p, addr, asked([]string{"POST", "GET"}[n%2], id))
		e.mu.Lock()
		read := e.read[id]
		e.mu.Unlock()
		say := must.Sprintf("%s, %s, %s: request %d: %v", script[0].name, script[1].name, script[2].name, n, d)
		must.LessEq(t, 1, read, say)
		must.Eq(t, ret == nil, d != nil, say)
		if ret != nil {
			must.Eq(t, body(id), string(ret.Body), say)
		}
		switch {
		case !sent:
			must.Eq(t, 0, read, say)
			must.Eq(t, failure.NotExecuted, d.Outcome, say)
		case d != nil:
			must.Eq(t, failure.OutcomeUnknown, d.Outcome, say)
		}
		if read == 1 {
			must.Eq(t, m.fate == own, ret != nil, say)
			continue
		}
		// It met a connection whose end was still on its way: the last move played ends one.
		last := e.last(script)
		must.True(t, last != nil && last.ends != stays, say)
	}
}

// last is the last move that was played, if any was.
func (e *endpoint) last(script []move) *move {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.past) == 0 {
		return nil
	}
	return &script[len(e.past)-1]
}

// A return that breaks off passes at no byte; whole it does. Both ways to mark its end,
// both ways to break off.
func TestBrokenOffAtEachByte(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\n" + idName + ": r\r\nContent-Type: text/plain\r\n"
	for name, whole := range map[string]string{
		"length": first + "Content-Length: 5\r\n\r\nhello",
		"chunks": first + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"tailed": first + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Tail: a\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/reset ", reset), func(t *testing.T) {
				t.Parallel()
				at := make(chan int, 1)
				addr := played(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
					for _, ok := next(); ok; _, ok = next() {
						n := <-at
						_, _ = c.Write([]byte(whole[:n]))
						if n < len(whole) {
							if reset {
								_ = c.(*net.TCPConn).SetLinger(0)
							}
							return
						}
					}
				})
				p := exchange.New("", patient)
				for n := range len(whole) + 1 {
					at <- n
					ret, sent, d := do(t, p, addr, asked("POST", "r"))
					must.True(t, sent)
					if n == len(whole) {
						must.Nil(t, d)
						must.Eq(t, "hello", string(ret.Body))
						continue
					}
					must.Nil(t, ret)
					must.Eq(t, failure.OutcomeUnknown, d.Outcome)
				}
			})
		}
	}
}

// What could be read in two ways, or is not what was asked for, passes nowhere.
func TestStrictness(t *testing.T) {
	const id = idName + ": r\r\n"
	const ok = "HTTP/1.1 200 OK\r\n" + id
	for name, say := range map[string]string{
		"well":                      ok + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"lengths that agree":        ok + "X-Seal: s\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
		"no seal":                   ok + "Content-Length: 2\r\n\r\nhi",
		"encoded":                   ok + "X-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi",
		"a line that goes on":       ok + "X-Seal: s\r\n more\r\nContent-Length: 2\r\n\r\nhi",
		"a bare line end":           ok + "X-Seal: s\nContent-Length: 2\r\n\r\nhi",
		"a bare return":             ok + "X-Seal: s\rContent-Length: 2\r\n\r\nhi",
		"a control byte":            ok + "X-Seal: s\x01\r\nContent-Length: 2\r\n\r\nhi",
		"a space before the colon":  ok + "X-Seal: s\r\nContent-Length : 2\r\n\r\nhi",
		"no colon":                  ok + "X-Seal: s\r\nContent-Length 2\r\n\r\nhi",
		"a signed length":           ok + "X-Seal: s\r\nContent-Length: +2\r\n\r\nhi",
		"lengths in a list":         ok + "X-Seal: s\r\nContent-Length: 2, 2\r\n\r\nhi",
		"an empty length":           ok + "X-Seal: s\r\nContent-Length:\r\n\r\nhi",
		"a length beyond all":       ok + "X-Seal: s\r\nContent-Length: 99999999999999999999\r\n\r\nhi",
		"a length beyond the bound": ok + "X-Seal: s\r\nContent-Length: 99999999999\r\n\r\nhi",
		"chunks and a length":       ok + "X-Seal: s\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"another coding":            ok + "X-Seal: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"a bad chunk":               ok + "X-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nz\r\nhi\r\n0\r\n\r\n",
		"a chunk too long":          ok + "X-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhiya\r\n0\r\n\r\n",
		"chunks of HTTP/1.0":        "HTTP/1.0 200 OK\r\n" + id + "X-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"another protocol":          "HTTP/2.0 200 OK\r\n" + id + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"no status":                 "HTTP/1.1 OK\r\n" + id + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"a status of four":          "HTTP/1.1 2000 OK\r\n" + id + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"a status below 100":        "HTTP/1.1 020 OK\r\n" + id + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"a change of protocol":      "HTTP/1.1 101 Go\r\n" + id + "X-Seal: s\r\n\r\n",
		"a head beyond the bound":   ok + "X-Seal: " + strings.Repeat("s", 20<<10) + "\r\nContent-Length: 2\r\n\r\nhi",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := played(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
				if _, ok := next(); ok {
					_, _ = c.Write([]byte(say))
				}
			})
			q := asked("POST", "r")
			q.Seal, q.Plain = "X-Seal", true
			ret, sent, d := do(t, exchange.New("", patient), addr, q)
			must.True(t, sent)
			if strings.HasPrefix(name, "well") || name == "lengths that agree" {
				must.Nil(t, d)
				must.Eq(t, "hi", string(ret.Body))
				return
			}
			must.Nil(t, ret)
			must.Eq(t, failure.BadResponse, d.Kind)
			must.Eq(t, failure.OutcomeUnknown, d.Outcome)
		})
	}
}

// What is written is the call's own, whole: nothing of one connection's, nothing that a
// header could smuggle in.
func TestWhatIsWritten(t *testing.T) {
	got := make(chan string, 1)
	addr := played(t, func(c net.Conn, r *bufio.Reader, _ func() (string, bool)) {
		var all strings.Builder
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			all.WriteString(line)
			if line == "\r\n" {
				break
			}
		}
		got <- all.String()
		_, _ = c.Write([]byte(told("r")))
	})
	q := asked("GET", "r")
	q.Target, q.Body = "//x//y/../z?q=%2F&a=;b", nil
	q.Header = map[string][]string{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Content-Length": {"9"}, "Transfer-Encoding": {"chunked"}, idName: {"forged"}, "X-Calling": {"forged"}, "Host": {"forged"}, "X-Gone": {"1"}}
	q.Set = []exchange.Field{{Name: "X-Calling", Value: "real"}, {Name: "X-Gone"}}
	p := exchange.New("", patient)
	_, _, d := do(t, p, addr, q)
	must.Nil(t, d)
	must.Eq(t, "GET //x//y/../z?q=%2F&a=;b HTTP/1.1\r\nHost: h.x\r\n"+idName+": r\r\nX-Calling: real\r\n\r\n", <-got)
	for name, spoil := range map[string]func(*exchange.Call){
		"target": func(q *exchange.Call) { q.Target = "/a b" },
		"empty":  func(q *exchange.Call) { q.Target = "" },
		"host":   func(q *exchange.Call) { q.Host = "a\r\nb" },
		"method": func(q *exchange.Call) { q.Method = "GET /" },
		"value":  func(q *exchange.Call) { q.Header = map[string][]string{"A": {"b\r\nC: d"}} },
		"name":   func(q *exchange.Call) { q.Header = map[string][]string{"A: b\r\nC": {"d"}} },
		"id":     func(q *exchange.Call) { q.Id = "r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			q := asked("GET", "r")
			spoil(&q)
			_, sent, d := do(t, p, addr, q)
			must.False(t, sent)
			must.Eq(t, failure.Malformed, d.Kind)
		})
	}
}

// An endpoint that turns a long request away before it is whole is heard, if the return
// names the request.
func TestTurnedAwayBeforeTheRequestIsWhole(t *testing.T) {
	addr := played(t, func(c net.Conn, r *bufio.Reader, _ func() (string, bool)) {
		_, _ = r.Peek(1)
		_, _ = c.Write([]byte(told("r")))
	})
	q := asked("POST", "r")
	q.Body = make([]byte, 64<<20)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	ret, sent, d := exchange.New("", patient).Do(ctx, addr, q)
	must.True(t, sent)
	must.Nil(t, d)
	must.Eq(t, body("r"), string(ret.Body))
}

func readId(r *bufio.Reader) (id string, ok bool) {
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", false
		}
		if line == "\r\n" {
			break
		}
		_, _ = fmt.Sscanf(line, idName+": %s", &id)
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
	}
	_, err := r.Discard(length)
	return id, err == nil
}
