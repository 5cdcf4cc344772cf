// Package integration tests the real daemons, several in one process, over faulty folders and
// loopback.
package integration

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

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/daemon/sidecar"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/storage/ring"
	"cottonarch.example/cottonarch/wire/server"
)

// faultyDisk is a folder in memory whose operations can be made slow, stalled or failing, and that
// can lose power. Invariant: once power is off nothing of the old process reaches it.
type faultyDisk struct {
	mu         sync.Mutex
	mem        *ring.MemoryFolder
	poweredOff bool
	delay      time.Duration
	stalled    chan struct{} // operations wait for its closing, nil when they need not
	failure    error
}

func newFaultyDisk() *faultyDisk { return &faultyDisk{mem: ring.NewMemoryFolder()} }

func (d *faultyDisk) configure(do func(*faultyDisk)) { d.mu.Lock(); defer d.mu.Unlock(); do(d) }

// run waits as the fault says and runs an operation on the disk.
func (d *faultyDisk) run(operation func() error) error {
	d.mu.Lock()
	delay, stalled := d.delay, d.stalled
	d.mu.Unlock()
	if delay > 0 {
		<-time.After(delay)
	}
	if stalled != nil {
		<-stalled
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.poweredOff:
		return errors.New("the power is off")
	case d.failure != nil:
		return d.failure
	}
	return operation()
}

// Open opens a file.
func (d *faultyDisk) Open(name string, size int64) (ring.File, error) {
	f, err := d.mem.Open(name, size)
	return faultyFile{d, f}, err
}

// Sync makes the names of the files last.
func (d *faultyDisk) Sync() error { return d.run(d.mem.Sync) }

// Close lets it go.
func (d *faultyDisk) Close() error { return nil }

// losePower turns the power off: what was not synced is lost or torn. The folder that comes
// back holds the rest.
func (d *faultyDisk) losePower(rng *rand.Rand) *faultyDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poweredOff = true
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
	d.mem.Crash(func(n int) int { return rng.IntN(n + 1) })
	return &faultyDisk{mem: d.mem}
}

type faultyFile struct {
	disk  *faultyDisk
	inner ring.File
}

func (f faultyFile) ReadAt(p []byte, off int64) (int, error) { return f.inner.ReadAt(p, off) }

func (f faultyFile) WriteAt(p []byte, off int64) (n int, err error) {
	err = f.disk.run(func() (e error) { n, e = f.inner.WriteAt(p, off); return })
	return
}

func (f faultyFile) Sync() error { return f.disk.run(f.inner.Sync) }

// process is one daemon with its servers.
type process struct {
	addr ident.Addr
	core *core.Core // nil for a sidecar
	stop func()     // the planned stop
	kill func()
}

func freeAddr(t *testing.T) ident.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return ident.Addr(l.Addr().String())
}

func startServers(servers ...*server.Server) (stop, kill func()) {
	for _, s := range servers {
		go func() { _ = s.Start(context.Background()) }()
	}
	stop = func() {
		var stopping sync.WaitGroup
		for _, s := range servers {
			stopping.Add(1)
			go func() {
				defer stopping.Done()
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
				defer cancel()
				_ = s.Stop(ctx)
			}()
		}
		stopping.Wait()
	}
	return stop, func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
}

// coreCluster are the cores of one test, each on its own disk.
type coreCluster struct {
	t         *testing.T
	addrs     []ident.Addr
	disks     []*faultyDisk
	processes []*process
	rng       *rand.Rand
}

func startCores(t *testing.T, n int) *coreCluster {
	c := &coreCluster{t: t, rng: rand.New(rand.NewPCG(7, 7))}
	for range n {
		c.addrs, c.disks, c.processes = append(c.addrs, freeAddr(t)), append(c.disks, newFaultyDisk()), append(c.processes, nil)
	}
	for i := range n {
		c.start(i)
	}
	t.Cleanup(func() {
		for i := range c.processes {
			c.powerOff(i)
		}
	})
	for i := range n {
		c.awaitStatus(i, "votes", true)
		c.awaitStatus(i, "majority", true)
	}
	return c
}

func (c *coreCluster) start(i int) {
	addr := c.addrs[i]
	cfg := settings.Core{Addr: addr, Listen: addr, Zone: ident.Zone(fmt.Sprint("d", i)), Seeds: c.addrs[:min(3, len(c.addrs))], Founders: c.addrs, Voters: len(c.addrs), RingFileBytes: 1 << 20, RingFiles: 4}
	coreDaemon, coreServer, err := daemon.CoreOnFolder(cfg, zap.NewNop(), c.disks[i])
	must.NoError(c.t, err)
	stop, kill := startServers(coreServer)
	coreDaemon.Start()
	c.processes[i] = &process{addr: addr, core: coreDaemon, stop: func() { coreDaemon.Leave(10 * time.Second); stop(); coreDaemon.Close() }, kill: func() { kill(); coreDaemon.Close() }}
}

// powerOff turns a core's power off; its disk is what is left.
func (c *coreCluster) powerOff(i int) {
	if running := c.processes[i]; running != nil {
		c.processes[i] = nil
		c.disks[i] = c.disks[i].losePower(c.rng)
		running.kill()
	}
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request asks and decodes; code 0 means no whole return.
func request(method string, addr ident.Addr, host, path string, body []byte, out any) (int, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+string(addr)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		httpRequest.Host = host
	}
	httpRequest.Header.Set("X-Request-Id", path)
	httpResponse, err := httpClient.Do(httpRequest)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = httpResponse.Body.Close() }()
	raw, err := io.ReadAll(httpResponse.Body)
	if err != nil || out != nil && json.Unmarshal(raw, out) != nil {
		return 0, nil
	}
	return httpResponse.StatusCode, httpResponse.Header
}

// eventualTimeout is how long a thing may take that has no bound of its own: no verdict here is to
// hang on how busy the machine is.
const eventualTimeout = 2 * time.Minute

// eventually looks again and again until a thing is so.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(eventualTimeout); time.Now().Before(deadline); <-ticker.C {
		if condition() {
			return
		}
	}
	t.Fatalf("%s did not come about", description)
}

func (c *coreCluster) awaitStatus(i int, field string, want any) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("core %d: %s %v", i, field, want), func() bool {
		var got map[string]any
		code, _ := request("GET", c.addrs[i], "", "/status", nil, &got)
		return code == 200 && got[field] == want
	})
}

// takeNumber takes a number until some core says yes; it must be above all given before.
func (c *coreCluster) takeNumber(last *uint64, askedCores ...int) {
	c.t.Helper()
	eventually(c.t, "a number", func() bool {
		for _, i := range askedCores {
			var got struct {
				N uint64 `json:"number"`
			}
			if code, _ := request("POST", c.addrs[i], "", "/numbers/n/next", nil, &got); code == 200 {
				must.Greater(c.t, *last, got.N)
				*last = got.N
				return true
			}
		}
		return false
	})
}

// mesh is one core and sidecars.
type sidecarProcess struct {
	*process
	callerAddr ident.Addr
	sidecar    *sidecar.Sidecar
}

func startSidecar(t *testing.T, seeds []ident.Addr, stop time.Duration) *sidecarProcess {
	addr, callerAddr := freeAddr(t), freeAddr(t)
	cfg := settings.Sidecar{Node: ident.Node(addr), Addr: addr, Listen: addr, ClientAddr: callerAddr, Zone: "d0", Seeds: seeds, Senders: 32, QueueCapacity: 64, MaxInFlight: 64, StopTimeout: stop}
	s, meshServer, callerServer := daemon.Sidecar(cfg, zap.NewNop())
	stopServers, kill := startServers(meshServer, callerServer)
	s.Start()
	closeOnce := sync.OnceFunc(s.Close)
	out := &sidecarProcess{process: &process{addr: addr, stop: func() { s.Leave(); stopServers(); closeOnce() }, kill: func() { kill(); closeOnce() }}, callerAddr: callerAddr, sidecar: s}
	return out
}

var _ core.Folder = (*faultyDisk)(nil)
