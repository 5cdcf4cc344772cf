package endpoint_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/standin/client"
	"cottonarch.example/cottonarch/standin/endpoint"
)

// startEndpoint starts an endpoint whose sidecar confirms every heartbeat. The returned options make a
// client send requests directly to the endpoint.
func startEndpoint(t *testing.T, behavior endpoint.Behavior) (*endpoint.Endpoint, client.Options) {
	sidecar := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(sidecar.Close)
	free := httptest.NewServer(nil)
	addr := ident.Addr(strings.TrimPrefix(free.URL, "http://"))
	free.Close()
	e, err := endpoint.Start(endpoint.Options{
		Server:      "e1",
		Service:     "a.x",
		Addr:        addr,
		SidecarAddr: ident.Addr(strings.TrimPrefix(sidecar.URL, "http://")),
		Executions:  &endpoint.ExecutionLog{},
		Behavior:    behavior,
	})
	must.NoError(t, err)
	t.Cleanup(e.Kill)
	return e, client.Options{Name: "c", SidecarAddr: addr, Timeout: 10 * time.Second}
}

// For each fault that an endpoint injects into a response, the client records the expected outcome,
// and the request is in the execution log.
func TestOutcomeOfEachBehavior(t *testing.T) {
	for name, c := range map[string]struct {
		behavior endpoint.Behavior
		want     client.Outcome
	}{
		"none":      {endpoint.Behavior{}, client.Served},
		"lost":      {endpoint.Behavior{LostShare: 1}, client.Dropped},
		"garbage":   {endpoint.Behavior{GarbageShare: 1}, client.Dropped},
		"truncated": {endpoint.Behavior{TruncatedShare: 1}, client.Dropped},
	} {
		t.Run(name, func(t *testing.T) {
			e, options := startEndpoint(t, c.behavior)
			kind := &client.RequestKind{Method: http.MethodPost, Host: "h", Path: "/p", Service: "a.x"}
			result := client.Send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, options, kind, "r1")
			must.Eq(t, c.want, result.Outcome, must.Sprint(result.Detail))
			must.SliceLen(t, 1, e.Executions.All())
			must.Eq(t, "r1", e.Executions.All()[0].ID)
		})
	}
}

// A client records a response from another service as wrong, and the body of a response names the path
// of the request.
func TestResponseOfOtherServiceIsWrong(t *testing.T) {
	e, options := startEndpoint(t, endpoint.Behavior{})
	kind := &client.RequestKind{Method: http.MethodGet, Host: "h", Path: "/p", Service: "other.x"}
	must.Eq(t, client.Wrong, client.Send(http.DefaultClient, options, kind, "r1").Outcome)
	response, err := http.Get("http://" + string(e.Addr) + "/p")
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	var echo endpoint.Echo
	must.NoError(t, json.Unmarshal(body, &echo))
	must.Eq(t, "/p", echo.Path)
}

// A hung endpoint executes a request only after the endpoint resumes. Stop waits for the requests in
// flight.
func TestStopDrainsRequestsAndHungEndpointResumes(t *testing.T) {
	release := make(chan struct{})
	e, options := startEndpoint(t, endpoint.Behavior{Release: release})
	kind := &client.RequestKind{Method: http.MethodGet, Host: "h", Path: "/p", Service: "a.x"}
	outcomes := make(chan client.Outcome, 1)
	e.SetHung(true)
	go func() { outcomes <- client.Send(http.DefaultClient, options, kind, "r1").Outcome }()
	time.Sleep(20 * time.Millisecond)
	must.Eq(t, 0, e.InFlight())
	e.SetHung(false)
	for e.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() { e.Stop(10 * time.Second); close(stopped) }()
	close(release)
	must.Eq(t, client.Served, <-outcomes)
	<-stopped
}
