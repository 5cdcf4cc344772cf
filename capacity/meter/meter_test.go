package meter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/pprof/profile"
	"github.com/shoenig/test/must"
)

// startServer serves a handler behind a meter on a loopback address. The networks 127.64 and 127.65 are
// two regions.
func startServer(t *testing.T, h http.Handler) (*Meter, string) {
	m := New(func(ip string) int {
		switch {
		case strings.HasPrefix(ip, "127.64."):
			return 0
		case strings.HasPrefix(ip, "127.65."):
			return 1
		}
		return -1
	})
	l, err := net.Listen("tcp", "127.64.0.1:0")
	must.NoError(t, err)
	s := &http.Server{Handler: m.WrapHandler(h)}
	go func() { _ = s.Serve(m.WrapListener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return m, l.Addr().String()
}

func dial(t *testing.T, from, to string) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", to)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestMeterCountsTraffic(t *testing.T) {
	m, addr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/keys/no" {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, "0123456789")
	}))
	c, in := dial(t, "127.64.0.9", addr), 0
	r := bufio.NewReader(c)
	for _, text := range []string{
		"POST /cottonarch/v1/renew HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
		"GET /keys/yes HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /keys/no HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		n, err := io.WriteString(c, text)
		must.NoError(t, err)
		in += n
		res, err := http.ReadResponse(r, nil)
		must.NoError(t, err)
		_, err = io.ReadAll(res.Body)
		must.NoError(t, err)
	}
	paths, peers := m.Paths(), m.Peers()
	must.Eq(t, 1, paths["/cottonarch/v1/renew"].Messages)
	must.Eq(t, 2, paths["/keys"].Messages)
	must.Eq(t, 1, paths["/keys"].Failed)
	must.Eq(t, int64(in), peers["127.64.0.9"].BytesIn)
	must.Greater(t, 30, peers["127.64.0.9"].BytesOut)
	must.Eq(t, map[string]Traffic{}, Subtract(paths, m.Paths()))
	must.Eq(t, paths, Subtract(Sum(paths, paths), paths))
}

func TestPartitionDelaysTrafficBetweenRegions(t *testing.T) {
	m, addr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "yes") }))
	const request = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
	receives := func(c net.Conn) chan bool {
		got := make(chan bool, 1)
		go func() {
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			got <- err == nil && res.StatusCode == 200
		}()
		return got
	}
	sameRegion, otherRegion := dial(t, "127.64.0.2", addr), dial(t, "127.65.0.2", addr)
	m.SetPartitioned(true)
	for _, c := range []net.Conn{sameRegion, otherRegion} {
		_, err := io.WriteString(c, request)
		must.NoError(t, err)
	}
	delayed := receives(otherRegion)
	must.True(t, <-receives(sameRegion)) // traffic within a region continues
	select {
	case <-delayed:
		t.Fatal("a byte passed between partitioned regions")
	default:
	}
	must.Eq(t, 0, m.Peers()["127.65.0.2"].BytesIn)
	m.SetPartitioned(false)
	must.True(t, <-delayed) // the delayed request completes
}

func TestShareByActivity(t *testing.T) {
	stack := func(v int64, label string, names ...string) *profile.Sample {
		s := &profile.Sample{Value: []int64{v}}
		if label != "" {
			s.Label = map[string][]string{PathLabel: {label}}
		}
		for _, n := range names {
			s.Location = append(s.Location, &profile.Location{Line: []profile.Line{{Function: &profile.Function{Name: n}}}})
		}
		return s
	}
	shares := ShareByActivity(&profile.Profile{Sample: []*profile.Sample{
		stack(10, "/cottonarch/v1/renew", "encoding/json.Unmarshal", "net/http.(*conn).serve"),
		stack(10, "/cottonarch/v2/unheard", "runtime.mallocgc"),
		stack(20, "", "sort.x", modulePrefix+"control/leasetable.(*Table).ChangesSince",
			modulePrefix+"daemon/api/mesh.handlers.renew.func1", modulePrefix+"daemon/core.(*Core).loop"),
		stack(20, "", modulePrefix+"control/leasetable.(*Table).Tick",
			modulePrefix+"control/core/node.(*Node).Tick", modulePrefix+"daemon/core.(*Core).loop"),
		stack(10, "", "runtime.scanobject", "runtime.gcBgMarkWorker"),
		stack(10, "", "syscall.read", "net/http.(*conn).serve"),
		stack(20, "", "runtime.futex", "runtime.mcall"),
	}})
	must.Eq(t, map[string]float64{
		"leases":             0.3,
		"/v2/unheard":        0.1,
		"registry":           0.2,
		"garbage collection": 0.1,
		"transport":          0.1,
		"scheduling, timers": 0.2,
	}, shares)
	for name := range shares {
		must.NotEq(t, "", PackageOf(name))
	}
}

func TestUsageGrows(t *testing.T) {
	a, m := ProcessUsage(), ReadCPUTicks()
	must.Positive(t, a.ResidentBytes)
	must.Positive(t, m.Total)
	must.GreaterEq(t, a.ReadAt, Now())
	must.GreaterEq(t, a.CPUSeconds, ProcessUsage().CPUSeconds)
	must.Eq(t, 0.25, CPUUtilization(CPUTicks{100, 50}, CPUTicks{200, 125}))
	must.Eq(t, 0, CPUUtilization(m, m))
}
