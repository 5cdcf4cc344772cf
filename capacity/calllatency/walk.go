// Package calllatency measures the time that the two sidecars add to a call: each call is made
// once through both and once directly at the endpoint, by the same client, one after the
// other.
package calllatency

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/capacity/testbed"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// Point is one size's walk. Times are in milliseconds; Added is through less direct, pair
// by pair.
type Point struct {
	Records     int                `json:"records"`
	Routes      int                `json:"ways"`
	Pairs       int64              `json:"pairs"`
	Failed      int                `json:"failed,omitempty"`
	Added       map[string]float64 `json:"added"`
	ThroughMesh map[string]float64 `json:"through"`
	Direct      map[string]float64 `json:"direct"`
}

// Quantiles are those that are noted, with their names.
var Quantiles = []struct {
	Name string
	At   float64
}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}}

const hollowNodes = 4

// newHistogram holds from a microsecond to a minute, in nanoseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1000, int64(time.Minute), 3) }

func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(max(1000, min(int64(duration), int64(time.Minute))))
}

func quantiles(histogram *hdrhistogram.Histogram) map[string]float64 {
	values := map[string]float64{}
	for _, quantile := range Quantiles {
		values[quantile.Name] = float64(histogram.ValueAtPercentile(quantile.At)) / 1e6
	}
	return values
}

const responseBody = "walked"

// startEndpoint answers at once.
func startEndpoint(ip string) (ident.Addr, *http.Server, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", nil, failure.Wrap(err, failure.Internal, "endpoint")
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, responseBody)
	})}
	go func() { _ = server.Serve(listener) }()
	return ident.Addr(listener.Addr().String()), server, nil
}

// Measure walks for a while with so many records and ways; patience bounds each wait for
// the mesh to come up.
func Measure(processCommand []string, dir string, target plan.Target, records, routes int, duration, readyTimeout time.Duration) (Point, error) {
	if target.Services < 2*hollowNodes {
		return Point{}, failure.New(failure.BadSettings, "the walk needs at least %d services", 2*hollowNodes)
	}
	point := Point{Records: records, Routes: max(routes, target.Services)}
	target.Routes, target.Cores = point.Routes, 1
	localRecords := max(1, records/target.Services)
	mesh, err := testbed.Start(testbed.Options{ProcessCommand: processCommand, Dir: dir, Target: target, NodeCount: 2 + hollowNodes, FullNodes: 2, ReadyTimeout: readyTimeout, NoHeartbeats: true, ExtraEndpoints: max(0, records-localRecords-hollowNodes) / hollowNodes})
	if err != nil {
		return point, err
	}
	defer mesh.Close()
	last := target.Services - 1
	service, path := target.Service(last), fmt.Sprintf("/part%05d/call", last)
	var heartbeats []endpoint.Heartbeat
	var endpoints []process.Endpoint
	for i := range localRecords {
		addr, server, err := startEndpoint(target.NodeIP(1))
		if err != nil {
			return point, err
		}
		defer func() { _ = server.Close() }()
		wanted := process.Endpoint{ID: ident.Server(fmt.Sprintf("walk%05d", i)), Service: service}
		endpoints, heartbeats = append(endpoints, wanted), append(heartbeats, endpoint.Heartbeat{Server: wanted.ID, Service: service, Addr: addr, State: endpoint.Alive, Weight: 1})
	}
	mesh.SendHeartbeats(mesh.FullNodes[1].Addr, heartbeats)
	if _, missing, _, err := mesh.Await(process.Condition{Ready: true, Healthy: endpoints}, readyTimeout).Times(); err != nil || missing > 0 {
		return point, failure.New(failure.DeadlineExceeded, "%d nodes did not come to know the walked endpoints: %v", missing, err)
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	call := func(addr ident.Addr) (time.Duration, bool) {
		req, err := http.NewRequest(http.MethodGet, "http://"+string(addr)+path, nil)
		if err != nil {
			return 0, false
		}
		req.Host = string(service)
		began := time.Now()
		res, err := client.Do(req)
		if err != nil {
			return 0, false
		}
		raw, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		return time.Since(began), err == nil && res.StatusCode == http.StatusOK && strings.TrimSpace(string(raw)) == responseBody
	}
	added, through, direct := newHistogram(), newHistogram(), newHistogram()
	begun := time.Now()
	for n := 0; ; n++ {
		if begun.Add(duration).Before(time.Now()) {
			break
		}
		targets := []ident.Addr{mesh.FullNodes[0].ClientAddr, heartbeats[n%localRecords].Addr}
		var elapsedByRoute [2]time.Duration
		ok := true
		for k := range 2 { // by turns through first and direct first
			i := (k + n) % 2
			elapsed, callOK := call(targets[i])
			elapsedByRoute[i], ok = elapsed, ok && callOK
		}
		if n < 100 { // connections and tables warm up
			begun = time.Now()
			continue
		}
		if !ok {
			point.Failed++
			continue
		}
		recordDuration(added, elapsedByRoute[0]-elapsedByRoute[1])
		recordDuration(through, elapsedByRoute[0])
		recordDuration(direct, elapsedByRoute[1])
	}
	point.Pairs, point.Added, point.ThroughMesh, point.Direct = added.TotalCount(), quantiles(added), quantiles(through), quantiles(direct)
	if point.Pairs == 0 {
		return point, failure.New(failure.BadResponse, "none of %d calls came through", point.Failed)
	}
	return point, nil
}
