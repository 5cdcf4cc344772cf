// Package proof tests the real daemons, several in one process, over faulty folders and
// loopback.
package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/daemon/assemble"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/daemon/sidecar"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/storage/ring"
	"cottonarch.example/cottonarch/wire/server"
)

// disk is a folder in memory whose operations can be made slow, stalled or failing, and that
// can lose power. Invariant: once power is off nothing of the old process reaches it.
type disk struct {
	mu   sync.Mutex
	mem  *ring.Mem
	off  bool
	slow time.Duration
	hold chan struct{} // operations wait for its closing, nil when they need not
	fail error
}

func newDisk() *disk { return &disk{mem: ring.NewMem()} }

func (d *disk) set(do func(*disk)) { d.mu.Lock(); defer d.mu.Unlock(); do(d) }

// turn waits as the fault says and runs an operation on the disk.
func (d *disk) turn(deed func() error) error {
	d.mu.Lock()
	slow, hold := d.slow, d.hold
	d.mu.Unlock()
	if slow > 0 {
		<-time.After(slow)
	}
	if hold != nil {
		<-hold
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.off:
		return errors.New("the power is off")
	case d.fail != nil:
		return d.fail
	}
	return deed()
}

// Open opens a file.
func (d *disk) Open(name string, size int64) (ring.File, error) {
	f, err := d.mem.Open(name, size)
	return file{d, f}, err
}

// Sync makes the names of the files last.
func (d *disk) Sync() error { return d.turn(d.mem.Sync) }

// Close lets it go.
func (d *disk) Close() error { return nil }

// power turns the power off: what was not synced is lost or torn. The folder that comes
// back holds the rest.
func (d *disk) power(rng *rand.Rand) *disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.off = true
	if d.hold != nil {
		close(d.hold)
		d.hold = nil
	}
	d.mem.Crash(func(n int) int { return rng.IntN(n + 1) })
	return &disk{mem: d.mem}
}

type file struct {
	d *disk
	f ring.File
}

func (f file) ReadAt(p []byte, off int64) (int, error) { return f.f.ReadAt(p, off) }

func (f file) WriteAt(p []byte, off int64) (n int, err error) {
	err = f.d.turn(func() (e error) { n, e = f.f.WriteAt(p, off); return })
	return
}

func (f file) Sync() error { return f.d.turn(f.f.Sync) }

// proc is one daemon with its servers.
type proc struct {
	addr ident.Addr
	core *core.Core // nil for a sidecar
	stop func()     // the planned stop
	kill func()
}

func free(t *testing.T) ident.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return ident.Addr(l.Addr().String())
}

func serve(servers ...*server.Server) (stop, kill func()) {
	for _, s := range servers {
		go func() { _ = s.Start(context.Background()) }()
	}
	stop = func() {
		var out sync.WaitGroup
		for _, s := range servers {
			s.SetKeepAlivesEnabled(false)
			out.Add(1)
			go func() {
				defer out.Done()
				ctx, end := context.WithTimeout(context.Background(), 2*time.Minute)
				defer end()
				_ = s.Stop(ctx)
			}()
		}
		out.Wait()
	}
	return stop, func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
}

// cores are the cores of one test, each on its own disk.
type cores struct {
	t     *testing.T
	addrs []ident.Addr
	disks []*disk
	procs []*proc
	rng   *rand.Rand
}

func upCores(t *testing.T, n int) *cores {
	c := &cores{t: t, rng: rand.New(rand.NewPCG(7, 7))}
	for range n {
		c.addrs, c.disks, c.procs = append(c.addrs, free(t)), append(c.disks, newDisk()), append(c.procs, nil)
	}
	for i := range n {
		c.start(i)
	}
	t.Cleanup(func() {
		for i := range c.procs {
			c.lose(i)
		}
	})
	for i := range n {
		c.await(i, "votes", true)
		c.await(i, "majority", true)
	}
	return c
}

func (c *cores) start(i int) {
	a := c.addrs[i]
	b := boot.Core{Addr: a, Listen: a, District: ident.District(fmt.Sprint("d", i)), Seeds: c.addrs[:min(3, len(c.addrs))], Founders: c.addrs, Voters: len(c.addrs), RingFile: 1 << 20, Rings: 4}
	d, srv, err := assemble.CoreOn(b, zap.NewNop(), c.disks[i])
	must.NoError(c.t, err)
	stop, kill := serve(srv)
	d.Start()
	c.procs[i] = &proc{addr: a, core: d, stop: func() { d.Leave(10 * time.Second); stop(); d.Close() }, kill: func() { kill(); d.Close() }}
}

// lose turns a core's power off; its disk is what is left.
func (c *cores) lose(i int) {
	if p := c.procs[i]; p != nil {
		c.procs[i] = nil
		c.disks[i] = c.disks[i].power(c.rng)
		p.kill()
	}
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// ask asks and decodes; code 0 means no whole return.
func ask(method string, addr ident.Addr, host, path string, body []byte, into any) (int, http.Header) {
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(addr)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("X-Request-Id", path)
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil || into != nil && json.Unmarshal(raw, into) != nil {
		return 0, nil
	}
	return res.StatusCode, res.Header
}

// patience is how long a thing may take that has no bound of its own: no verdict here is to
// hang on how busy the machine is.
const patience = 2 * time.Minute

// eventually looks again and again until a thing is so.
func eventually(t *testing.T, what string, so func() bool) {
	t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for until := time.Now().Add(patience); time.Now().Before(until); <-tick.C {
		if so() {
			return
		}
	}
	t.Fatalf("%s did not come about", what)
}

func (c *cores) await(i int, field string, want any) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("core %d: %s %v", i, field, want), func() bool {
		var got map[string]any
		code, _ := ask("GET", c.addrs[i], "", "/status", nil, &got)
		return code == 200 && got[field] == want
	})
}

// next takes a number until some core says yes; it must be above all given before.
func (c *cores) next(top *uint64, from ...int) {
	c.t.Helper()
	eventually(c.t, "a number", func() bool {
		for _, i := range from {
			var got struct {
				N uint64 `json:"number"`
			}
			if code, _ := ask("POST", c.addrs[i], "", "/numbers/n/next", nil, &got); code == 200 {
				must.Greater(c.t, *top, got.N)
				*top = got.N
				return true
			}
		}
		return false
	})
}

// mesh is one core and sidecars.
type side struct {
	*proc
	caller ident.Addr
	s      *sidecar.Sidecar
}

func upSide(t *testing.T, seeds []ident.Addr, stop time.Duration) *side {
	a, f := free(t), free(t)
	b := boot.Sidecar{Node: ident.Node(a), Addr: a, Listen: a, Caller: f, District: "d0", Seeds: seeds, Senders: 32, Queue: 64, Hand: 64, Stop: stop}
	s, near, front := assemble.Sidecar(b, zap.NewNop())
	end, kill := serve(near, front)
	s.Start()
	over := sync.OnceFunc(s.Close)
	out := &side{proc: &proc{addr: a, stop: func() { s.Leave(); end(); over() }, kill: func() { kill(); over() }}, caller: f, s: s}
	return out
}

var _ core.Folder = (*disk)(nil)
