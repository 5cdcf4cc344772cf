// Package integration tests the real daemons, several in one process, over folders with faults
// and loopback.
package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/server"
)

// process is one daemon with its servers.
type process struct {
	addr ident.Addr
	core *core.Core // nil for a sidecar
	stop func()     // the planned stop
	kill func()     // ends it at once
}

// stopTimeout bounds the planned stop of a server.
const stopTimeout = 2 * time.Minute

// addrsGiven counts the addresses that freeAddr has given.
var addrsGiven atomic.Uint32

// freeAddr is an address that nobody listens at. Its IP is one of loopback that is given once in this
// process and to no other test process at the same time: on 127.0.0.1 an outgoing connection of anybody
// could take the port before the server listens, or while it is down.
func freeAddr(t *testing.T) ident.Addr {
	const perByte = 250
	n, pid := int(addrsGiven.Add(1)), os.Getpid()
	must.Less(t, perByte, n, must.Sprint("too many addresses"))
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid/perByte%64, pid%perByte, n)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return ident.Addr(listener.Addr().String())
}

// startServers starts servers; stop is their planned stop, and kill ends them at once. An address
// that another process has taken since it was found free ends the test.
func startServers(t *testing.T, servers ...*server.Server) (stop, kill func()) {
	t.Helper()
	for _, srv := range servers {
		_, err := srv.Endpoint() // it listens from now on
		must.NoError(t, err)
		go func() { _ = srv.Start(context.Background()) }()
	}
	stop = func() {
		var stopping sync.WaitGroup
		for _, srv := range servers {
			stopping.Go(func() { stopServer(srv) })
		}
		stopping.Wait()
	}
	kill = func() {
		for _, srv := range servers {
			_ = srv.Close()
		}
	}
	return stop, kill
}

func stopServer(srv *server.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = srv.Stop(ctx)
}

// coreCluster is the cores of one test, each on its own disk. A process is nil while it is down.
type coreCluster struct {
	t         *testing.T
	addrs     []ident.Addr
	disks     []*faultyDisk
	processes []*process
	rng       *rand.Rand
}

// startCores starts cores and waits until each of them votes and hears a majority.
func startCores(t *testing.T, n int) *coreCluster {
	c := &coreCluster{t: t, rng: rand.New(rand.NewPCG(7, 7))}
	for range n {
		c.addrs = append(c.addrs, freeAddr(t))
		c.disks = append(c.disks, newFaultyDisk())
	}
	c.processes = make([]*process, n)
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

// start starts a core on its disk.
func (c *coreCluster) start(i int) {
	addr := c.addrs[i]
	config := settings.Core{
		Addr:          addr,
		Listen:        addr,
		Zone:          ident.Zone(fmt.Sprint("d", i)),
		Seeds:         c.addrs[:min(3, len(c.addrs))],
		Founders:      c.addrs,
		Voters:        len(c.addrs),
		RingFileBytes: 1 << 20,
		RingFiles:     4,
	}
	coreDaemon, coreServer, err := daemon.CoreWithFolder(config, zap.NewNop(), c.disks[i])
	must.NoError(c.t, err)
	stop, kill := startServers(c.t, coreServer)
	coreDaemon.Start()
	c.processes[i] = &process{
		addr: addr,
		core: coreDaemon,
		stop: func() {
			coreDaemon.Leave(10 * time.Second)
			stop()
			coreDaemon.Close()
		},
		kill: func() {
			kill()
			coreDaemon.Close()
		},
	}
}

// powerOff turns a core's power off: only its disk is left, without what was not synced.
func (c *coreCluster) powerOff(i int) {
	if running := c.processes[i]; running != nil {
		c.processes[i] = nil
		c.disks[i] = c.disks[i].losePower(c.rng)
		running.kill()
	}
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request sends a request and decodes the response; the status is 0 when there is no whole one.
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

// eventualTimeout bounds what has no bound of its own: no test may fail because the machine is
// busy.
const eventualTimeout = 2 * time.Minute

// eventually waits until a condition holds.
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

// awaitStatus waits until a field of a core's status has a value.
func (c *coreCluster) awaitStatus(i int, field string, want any) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("core %d: %s %v", i, field, want), func() bool {
		var got map[string]any
		status, _ := request(http.MethodGet, c.addrs[i], "", "/status", nil, &got)
		return status == http.StatusOK && got[field] == want
	})
}

// numberResponse is the response to a request for the next number of a sequence.
type numberResponse struct {
	Number  uint64 `json:"number"`
	Outcome string `json:"fate"` // of a request that failed
}

// nextNumber asks a core once for the next number of a sequence.
func (c *coreCluster) nextNumber(i int) (status int, got numberResponse) {
	status, _ = request(http.MethodPost, c.addrs[i], "", "/numbers/n/next", nil, &got)
	return status, got
}

// takeNumber asks the cores for the next number until one gives it. It must be above the last one.
func (c *coreCluster) takeNumber(last *uint64, askedCores ...int) {
	c.t.Helper()
	eventually(c.t, "a number", func() bool {
		for _, i := range askedCores {
			if status, got := c.nextNumber(i); status == http.StatusOK {
				must.Greater(c.t, *last, got.Number)
				*last = got.Number
				return true
			}
		}
		return false
	})
}
