// Package integration tests complete daemons, several in one process, on data folders with injected
// faults and over loopback connections.
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

// process is a running daemon with its servers.
type process struct {
	addr ident.Addr
	core *core.Core // nil for a sidecar
	stop func()     // performs a planned stop
	kill func()     // stops the daemon immediately
}

// stopTimeout is the timeout of the planned stop of a server.
const stopTimeout = 2 * time.Minute

// allocatedAddrs is the number of addresses that freeAddr has returned.
var allocatedAddrs atomic.Uint32

// freeAddr returns an address on which no process listens. The IP is a loopback address that freeAddr
// returns only once in this process and not in another test process that runs at the same time. On
// 127.0.0.1 an outgoing connection of any process could occupy the port before the server listens or
// while the server is down.
func freeAddr(t *testing.T) ident.Addr {
	const perByte = 250
	n, pid := int(allocatedAddrs.Add(1)), os.Getpid()
	must.Less(t, perByte, n, must.Sprint("too many addresses"))
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid/perByte%64, pid%perByte, n)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return ident.Addr(listener.Addr().String())
}

// startServers starts servers. stop performs their planned stop, and kill closes them immediately.
// The test fails if another process has occupied the address of a server since freeAddr returned the
// address.
func startServers(t *testing.T, servers ...*server.Server) (stop, kill func()) {
	t.Helper()
	for _, srv := range servers {
		_, err := srv.Endpoint() // the server listens from now on
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

// coreCluster holds the cores of one test, each with its own disk. The entry of a core in processes
// is nil while the core is down.
type coreCluster struct {
	t         *testing.T
	addrs     []ident.Addr
	disks     []*faultyDisk
	processes []*process
	rng       *rand.Rand
}

// startCores starts cores and waits until each core is a voter and has a majority.
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

// powerOff simulates a power loss of a core: the process is killed, and unsynced writes to the disk
// are lost or torn.
func (c *coreCluster) powerOff(i int) {
	if running := c.processes[i]; running != nil {
		c.processes[i] = nil
		c.disks[i] = c.disks[i].losePower(c.rng)
		running.kill()
	}
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request sends a request and decodes the response. The status is 0 if no complete response arrives.
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

// eventualTimeout is the timeout of every wait and request without a specific timeout. The value is
// large so that no test fails because the machine is busy.
const eventualTimeout = 2 * time.Minute

// eventually waits until a condition holds, and fails the test after eventualTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(eventualTimeout); time.Now().Before(deadline); <-ticker.C {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", description)
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

// nextNumber requests the next number of a sequence from a core, without retries.
func (c *coreCluster) nextNumber(i int) (status int, got numberResponse) {
	status, _ = request(http.MethodPost, c.addrs[i], "", "/numbers/n/next", nil, &got)
	return status, got
}

// awaitNumber requests the next number of a sequence from the cores until a request succeeds. The
// number must be greater than last, which awaitNumber then updates.
func (c *coreCluster) awaitNumber(last *uint64, cores ...int) {
	c.t.Helper()
	eventually(c.t, "a number", func() bool {
		for _, i := range cores {
			if status, got := c.nextNumber(i); status == http.StatusOK {
				must.Greater(c.t, *last, got.Number)
				*last = got.Number
				return true
			}
		}
		return false
	})
}
