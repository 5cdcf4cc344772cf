// Package calllatency measures the latency that the two sidecars of a call add. One client makes each
// call twice, one after the other: through both sidecars and directly at the endpoint.
package calllatency

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/capacity/testbed"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// Point is the call latency at one mesh size. Latencies are in milliseconds, by the names of Quantiles.
// Added holds the quantiles of the difference between the two calls of a pair.
type Point struct {
	Records     int                `json:"records"` // number of endpoints in the registry
	Routes      int                `json:"ways"`
	Pairs       int64              `json:"pairs"`
	Failed      int                `json:"failed,omitempty"` // number of pairs in which a call failed
	Added       map[string]float64 `json:"added"`
	ThroughMesh map[string]float64 `json:"through"`
	Direct      map[string]float64 `json:"direct"`
}

// Options describes a measurement.
type Options struct {
	ProcessCommand []string // command line that runs process.Run
	Dir            string   // parent of the cores' data directories
	Target         plan.Target
	Records        int // number of endpoints in the registry
	Routes         int
	Duration       time.Duration // how long calls are made
	ReadyTimeout   time.Duration // bounds each wait while the mesh starts
}

const (
	// The mesh has one full node for the client, one full node for the called endpoints, and hollow
	// nodes that hold the other endpoints of the registry.
	fullNodes   = 2
	hollowNodes = 4
	// The called service is the last service. With fewer services, endpoints of hollow nodes could
	// belong to the called service.
	minServices = 2 * hollowNodes

	callTimeout  = 5 * time.Second
	warmUpPairs  = 100 // not counted, because connections and tables are not warmed up yet
	maxIdleConns = 64
)

// Measure starts a mesh, measures calls for the duration and stops the mesh.
func Measure(options Options) (point Point, err error) {
	target := options.Target
	if target.Services < minServices {
		return point, failure.New(failure.BadSettings, "measuring the call latency needs at least %d services", minServices)
	}
	point = Point{Records: options.Records, Routes: max(options.Routes, target.Services)}
	target.Routes, target.Cores = point.Routes, 1
	localRecords := max(1, point.Records/target.Services)
	mesh, err := testbed.Start(testbed.Options{
		ProcessCommand: options.ProcessCommand,
		Dir:            options.Dir,
		Target:         target,
		NodeCount:      fullNodes + hollowNodes,
		FullNodes:      fullNodes,
		ReadyTimeout:   options.ReadyTimeout,
		NoHeartbeats:   true,
		ExtraEndpoints: max(0, point.Records-localRecords-hollowNodes) / hollowNodes,
	})
	if err != nil {
		return point, err
	}
	defer mesh.Close()
	endpoints, err := startEndpoints(mesh, localRecords, options.ReadyTimeout)
	defer endpoints.close()
	if err != nil {
		return point, err
	}
	err = measurePairs(&point, mesh.FullNodes[0].ClientAddr, endpoints, options.Duration)
	return point, err
}

// endpoints holds the called endpoints, which all belong to the last service and run on the second full
// node.
type endpoints struct {
	service ident.Service
	path    string // request path, which matches the service's route
	addrs   []ident.Addr
	servers []*http.Server
}

// startEndpoints starts endpoints and waits until every node has the endpoints in its registry. The
// caller must close the returned endpoints, also after an error.
func startEndpoints(mesh *testbed.Mesh, count int, readyTimeout time.Duration) (*endpoints, error) {
	last := mesh.Target.Services - 1
	e := &endpoints{service: mesh.Target.Service(last), path: plan.RoutePath(last) + "call"}
	var heartbeats []endpoint.Heartbeat
	var wanted []process.Endpoint
	for i := range count {
		addr, err := e.start(mesh.Target.NodeIP(1))
		if err != nil {
			return e, err
		}
		id := process.Endpoint{ID: ident.Server(fmt.Sprintf("walk%05d", i)), Service: e.service}
		wanted = append(wanted, id)
		heartbeats = append(heartbeats, id.AliveHeartbeat(addr))
	}
	mesh.SendHeartbeats(mesh.FullNodes[1].Addr, heartbeats...)
	result, err := mesh.Await(process.Condition{Ready: true, Healthy: wanted}, readyTimeout).Result()
	if err != nil {
		return e, failure.Wrap(err, failure.DeadlineExceeded, "wait for all nodes to learn of the called endpoints")
	}
	if result.TimedOut > 0 {
		return e, failure.New(failure.DeadlineExceeded, "%d nodes did not learn of the called endpoints within %v", result.TimedOut, readyTimeout)
	}
	return e, nil
}

// start starts one endpoint that responds without delay, and returns the endpoint's address.
func (e *endpoints) start(ip string) (ident.Addr, error) {
	listener, err := process.Listen(ip)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(respond)}
	go func() { _ = server.Serve(listener) }()
	addr := ident.Addr(listener.Addr().String())
	e.servers, e.addrs = append(e.servers, server), append(e.addrs, addr)
	return addr, nil
}

const responseBody = "walked"

func respond(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, responseBody)
}

func (e *endpoints) close() {
	for _, server := range e.servers {
		_ = server.Close()
	}
}

// measurePairs makes pairs of calls for the duration and stores the results in the point.
func measurePairs(point *Point, sidecar ident.Addr, e *endpoints, duration time.Duration) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	defer client.CloseIdleConnections()
	added, through, direct := newHistogram(), newHistogram(), newHistogram()
	startedAt := time.Now()
	for n := 0; !time.Now().After(startedAt.Add(duration)); n++ {
		throughMesh, directly, ok := e.callPair(client, sidecar, n)
		if n < warmUpPairs {
			startedAt = time.Now()
			continue
		}
		if !ok {
			point.Failed++
			continue
		}
		recordDuration(added, throughMesh-directly)
		recordDuration(through, throughMesh)
		recordDuration(direct, directly)
	}
	point.Pairs = added.TotalCount()
	point.Added, point.ThroughMesh, point.Direct = quantiles(added), quantiles(through), quantiles(direct)
	if point.Pairs == 0 {
		return failure.New(failure.BadResponse, "all %d pairs of calls failed", point.Failed)
	}
	return nil
}

// callPair makes the n-th pair of calls. The call through the mesh comes first in every other pair.
func (e *endpoints) callPair(client *http.Client, sidecar ident.Addr, n int) (throughMesh, direct time.Duration, ok bool) {
	endpointAddr := e.addrs[n%len(e.addrs)]
	var meshOK, directOK bool
	if n%2 == 0 {
		throughMesh, meshOK = e.call(client, sidecar)
		direct, directOK = e.call(client, endpointAddr)
	} else {
		direct, directOK = e.call(client, endpointAddr)
		throughMesh, meshOK = e.call(client, sidecar)
	}
	return throughMesh, direct, meshOK && directOK
}

// call makes one call and returns the call's duration and whether the response was correct.
func (e *endpoints) call(client *http.Client, addr ident.Addr) (elapsed time.Duration, ok bool) {
	request, err := http.NewRequest(http.MethodGet, "http://"+string(addr)+e.path, nil)
	if err != nil {
		return 0, false
	}
	request.Host = string(e.service)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	raw, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	elapsed = time.Since(began)
	return elapsed, err == nil && response.StatusCode == http.StatusOK && strings.TrimSpace(string(raw)) == responseBody
}
