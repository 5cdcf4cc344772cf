// Package calllatency measures the time that the two sidecars add to a call. Each call is made
// once through both and once directly at the endpoint, by the same client, one after the other.
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

// Point is the latency at one size. Times are in milliseconds, by the names of Quantiles.
// Added is the difference of each pair of calls.
type Point struct {
	Records     int                `json:"records"` // endpoints in the registry
	Routes      int                `json:"ways"`
	Pairs       int64              `json:"pairs"`
	Failed      int                `json:"failed,omitempty"` // pairs in which a call failed
	Added       map[string]float64 `json:"added"`
	ThroughMesh map[string]float64 `json:"through"`
	Direct      map[string]float64 `json:"direct"`
}

// Options describes a measurement.
type Options struct {
	ProcessCommand []string // command line that runs process.Run
	Dir            string   // for the cores' disk folders
	Target         plan.Target
	Records        int // endpoints that the registry is to hold
	Routes         int
	Duration       time.Duration // of the calls
	ReadyTimeout   time.Duration // of each wait for the mesh to come up
}

const (
	// The mesh has a full node for the client, one for the endpoints, and hollow nodes, which
	// stand in for the other endpoints of the registry.
	fullNodes   = 2
	hollowNodes = 4
	// Hollow nodes' endpoints must not belong to the called service, which is the last one.
	minServices = 2 * hollowNodes

	callTimeout  = 5 * time.Second
	warmUpPairs  = 100 // not counted: connections and tables warm up
	maxIdleConns = 64
)

// Measure starts a mesh, makes calls for the duration and ends the mesh.
func Measure(options Options) (point Point, err error) {
	target := options.Target
	if target.Services < minServices {
		return point, failure.New(failure.BadSettings, "the call latency needs at least %d services", minServices)
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

// endpoints are the called endpoints, all of the last service and beside the second node.
type endpoints struct {
	service ident.Service
	path    string // of a call that the service's route covers
	addrs   []ident.Addr
	servers []*http.Server
}

// startEndpoints starts endpoints and waits until every node knows them. What it returns is to
// be closed even after an error.
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
		return e, failure.Wrap(err, failure.DeadlineExceeded, "wait for nodes to know the called endpoints")
	}
	if result.Missing > 0 {
		return e, failure.New(failure.DeadlineExceeded, "%d nodes did not come to know the called endpoints in %v", result.Missing, readyTimeout)
	}
	return e, nil
}

// start starts one endpoint, which responds at once.
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

// measurePairs makes pairs of calls for a while and fills the point. Which call of a pair comes
// first alternates.
func measurePairs(point *Point, sidecar ident.Addr, e *endpoints, duration time.Duration) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	defer client.CloseIdleConnections()
	added, through, direct := newHistogram(), newHistogram(), newHistogram()
	began := time.Now()
	for n := 0; !time.Now().After(began.Add(duration)); n++ {
		throughMesh, directly, ok := e.callPair(client, sidecar, n)
		if n < warmUpPairs {
			began = time.Now()
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

// callPair makes the n-th pair of calls.
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

// call makes one call and tells how long it took and whether the response was right.
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
