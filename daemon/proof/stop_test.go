package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/stand/endpoint"
	"cottonarch.example/cottonarch/wire/reply"
)

const plain = `{"services":{"a.x":{}},"ways":{"w":{"host":"a.host","service":"a.x","timeoutMs":90000}}}`

// small is one core, two sidecars, and an endpoint beside the second.
type small struct {
	*cores
	one, two *side
	end      *endpoint.Endpoint
}

func upSmall(t *testing.T, work, stop time.Duration) *small {
	c := upCores(t, 1)
	m := &small{cores: c, one: upSide(t, c.addrs, stop), two: upSide(t, c.addrs, stop)}
	t.Cleanup(func() { m.one.kill(); m.two.kill() })
	eventually(t, "a yes", func() bool {
		code, _ := ask("PUT", c.addrs[0], "", "/manifest", []byte(plain), nil)
		return code == 200
	})
	e, err := endpoint.Start(endpoint.Boot{Server: "e1", Service: "a.x", Addr: free(t), Beat: m.two.addr, Mood: endpoint.Mood{Work: work}})
	must.NoError(t, err)
	m.end = e
	t.Cleanup(e.Die)
	for _, s := range []*side{m.one, m.two} {
		m.serves(s, "/warm")
	}
	return m
}

func (m *small) get(s *side, path string) (int, http.Header, endpoint.Echo) {
	var e endpoint.Echo
	code, h := ask("GET", s.caller, "a.host", path, nil, &e)
	return code, h, e
}

func (m *small) serves(s *side, path string) {
	m.t.Helper()
	eventually(m.t, "a return", func() bool { code, _, e := m.get(s, path); return code == 200 && e.Path == path })
}

// hand sends n requests and waits until the endpoint has them, which holds them until it is
// told to let go; wait gives their returns, each whole and the endpoint's own.
func (m *small) hand(s *side, n int) (letGo, wait func()) {
	hold := make(chan struct{})
	m.end.Behave(endpoint.Mood{Hold: hold})
	letGo = sync.OnceFunc(func() { close(hold) })
	m.t.Cleanup(letGo)
	var out sync.WaitGroup
	var good atomic.Int64
	for i := range n {
		out.Add(1)
		go func() {
			defer out.Done()
			path := fmt.Sprintf("/hand/%d", i)
			if code, h, e := m.get(s, path); code == 200 && e.Path == path && e.Server == "e1" && h.Get(reply.FateHeader) == "" {
				good.Add(1)
			}
		}()
	}
	eventually(m.t, "requests in hand", func() bool { return m.end.Hand() == int64(n) })
	return letGo, func() { out.Wait(); must.Eq(m.t, int64(n), good.Load()) }
}

// Requests in hand longer than the stop's warning, at the caller's sidecar and at the
// endpoint's, all get the endpoint's own return.
func TestStopLongerThanItsWarning(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"the caller's sidecar", "the endpoint's sidecar"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := upSmall(t, 0, 300*time.Millisecond)
			letGo, wait := m.hand(m.one, 6)
			s := m.one
			if name == "the endpoint's sidecar" {
				s = m.two
			}
			time.AfterFunc(1700*time.Millisecond, letGo)
			s.stop()
			wait()
		})
	}
}

// A manifest that removes the way and the service of requests in hand drops none of them,
// nor does the endpoint's planned end.
func TestManifestRemovesWhatIsInHand(t *testing.T) {
	t.Parallel()
	m := upSmall(t, 0, time.Second)
	letGo, wait := m.hand(m.one, 6)
	var yes, now struct {
		Epoch    ident.Epoch `json:"epoch"`
		Manifest ident.Epoch `json:"manifest"`
	}
	code, _ := ask("PUT", m.addrs[0], "", "/manifest", []byte(`{"services":{"b.x":{}},"ways":{"v":{"host":"b.host","service":"b.x"}}}`), &yes)
	must.Eq(t, 200, code)
	for _, s := range []*side{m.one, m.two} {
		eventually(t, "the manifest in force", func() bool {
			code, _ := ask("GET", s.addr, "", "/status", nil, &now)
			return code == 200 && now.Manifest >= yes.Epoch
		})
	}
	code, _, _ = m.get(m.one, "/gone")
	must.Eq(t, 404, code)
	must.Eq(t, 6, m.end.Hand())
	done := make(chan struct{})
	go func() { m.end.Stop(30 * time.Second); close(done) }()
	time.AfterFunc(300*time.Millisecond, letGo)
	wait()
	<-done
}

// A caller that keeps sending until the end gets whole returns, each either the
// endpoint's own or a plain no with Retry-After, until no connection is taken any more.
func TestCallerThatKeepsSending(t *testing.T) {
	t.Parallel()
	m := upSmall(t, 5*time.Millisecond, 4*time.Second)
	stopped := make(chan struct{})
	go func() { m.one.stop(); close(stopped) }()
	served, late := 0, 0
	for n := 0; late < 3; n++ {
		path := fmt.Sprintf("/on/%d", n)
		code, h, e := m.get(m.one, path)
		switch {
		case code == 200:
			must.Eq(t, path, e.Path)
			served++
		case code == 503:
			must.Eq(t, "no", h.Get(reply.FateHeader))
			must.NotEq(t, "", h.Get("Retry-After"))
		default:
			// Only when nobody listens any more.
			must.Eq(t, 0, code)
			late++
		}
	}
	<-stopped
	must.Positive(t, served)
}

// A core's planned stop: a watch, a sidecar's long poll and operations in hand all get a whole
// return, and what was told a yes holds at the others.
func TestCoreStopWithWatchesAndDeedsInHand(t *testing.T) {
	t.Parallel()
	c := upCores(t, 3)
	top := uint64(0)
	c.next(&top, 0)
	type told struct {
		code int
		kind string
	}
	watches := make(chan told, 4)
	var first struct {
		Place string `json:"place"`
	}
	eventually(t, "a key", func() bool {
		code, _ := ask("PUT", c.addrs[0], "", "/keys/k", []byte(`1`), nil)
		return code == 200
	})
	eventually(t, "a place", func() bool {
		code, _ := ask("GET", c.addrs[0], "", "/watch?prefix=&waitMs=2000", nil, &first)
		return code == 200 && first.Place != ""
	})
	var begun sync.WaitGroup
	for range 4 {
		begun.Add(1)
		go func() {
			begun.Done()
			var got struct {
				Defect string `json:"defect"`
			}
			code, _ := ask("GET", c.addrs[0], "", "/watch?prefix=&waitMs=15000&place="+first.Place, nil, &got)
			watches <- told{code, got.Defect}
		}()
	}
	begun.Wait()
	polls := make(chan int, 2)
	go func() {
		var got json.RawMessage
		code, _ := ask("GET", c.addrs[0], "", "/cottonarch/v1/news?manifest=99999", nil, &got)
		polls <- code
	}()
	var deeds sync.WaitGroup
	var most atomic.Uint64
	var yes, no, broken atomic.Int64
	end := make(chan struct{})
	for range 8 {
		deeds.Add(1)
		go func() {
			defer deeds.Done()
			for {
				select {
				case <-end:
					return
				default:
				}
				var got struct {
					N    uint64 `json:"number"`
					Fate string `json:"fate"`
				}
				code, _ := ask("POST", c.addrs[0], "", "/numbers/n/next", nil, &got)
				switch {
				case code == 200:
					yes.Add(1)
					for old := most.Load(); got.N > old && !most.CompareAndSwap(old, got.N); old = most.Load() {
					}
				case code > 0 && got.Fate != "":
					no.Add(1)
				case code == 0: // nobody took it, or it was dropped
					broken.Add(1)
					return
				}
			}
		}()
	}
	eventually(t, "deeds", func() bool { return yes.Load() > 20 })
	c.procs[0].stop()
	c.procs[0] = nil
	close(end)
	deeds.Wait()
	for range 4 {
		w := <-watches
		must.True(t, w.code == 503 && w.kind == "stopping" || w.code == 200, must.Sprint(w))
	}
	must.Eq(t, 200, <-polls)
	must.LessEq(t, 8, broken.Load()) // each sender only finds once that nobody listens
	top = most.Load()
	c.next(&top, 1, 2)
}
