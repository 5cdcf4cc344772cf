package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/standin/client"
	"cottonarch.example/cottonarch/standin/endpoint"
)

const (
	// endpointStopTimeout bounds how long a stopping endpoint waits for requests in flight.
	endpointStopTimeout = 5 * time.Second
	// clientTimeout bounds one request of a stand-in client.
	clientTimeout = 10 * time.Second
)

// endpointCmd runs a stand-in endpoint.
type endpointCmd struct {
	Server         string        `required:"" help:"serverId of this run."`
	Service        string        `required:"" help:"Service that the endpoint serves."`
	Address        string        `required:"" help:"Address to listen on, ip:port."`
	Sidecar        string        `required:"" help:"The sidecar's address for the mesh, which receives the heartbeats."`
	WorkTime       time.Duration `name:"work" default:"2ms" help:"How long a request takes."`
	LostShare      float64       `name:"lost" aliases:"lose" help:"Share of requests that are executed and get no response."`
	GarbageShare   float64       `name:"garbage" help:"Share of requests that get garbage instead of a response."`
	TruncatedShare float64       `name:"truncated" aliases:"cut" help:"Share of requests whose response is truncated."`
}

// Run runs an endpoint until the process receives SIGTERM or SIGINT.
func (c endpointCmd) Run() error {
	e, err := endpoint.Start(endpoint.Options{
		Server:      ident.Server(c.Server),
		Service:     ident.Service(c.Service),
		Addr:        ident.Addr(c.Address),
		SidecarAddr: ident.Addr(c.Sidecar),
		Behavior: endpoint.Behavior{
			WorkTime:       c.WorkTime,
			LostShare:      c.LostShare,
			GarbageShare:   c.GarbageShare,
			TruncatedShare: c.TruncatedShare,
		},
	})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "can't start the endpoint")
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	e.Stop(endpointStopTimeout)
	return nil
}

// clientCmd runs stand-in clients.
type clientCmd struct {
	Address  string        `required:"" help:"The sidecar's address for clients."`
	Host     string        `required:"" help:"Host of the requests."`
	Path     string        `default:"/" help:"Path of the requests."`
	Method   string        `default:"GET" help:"Method of the requests."`
	Service  string        `required:"" help:"Service whose responses are expected."`
	Rate     float64       `default:"20" help:"Requests per second."`
	Duration time.Duration `name:"for" default:"5s" help:"How long to send."`
}

// Run sends requests and prints the number of requests with each outcome.
func (c clientCmd) Run() error {
	results := &client.ResultLog{}
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration)
	defer cancel()
	client.Run(ctx, client.Options{
		Name:        "caller",
		SidecarAddr: ident.Addr(c.Address),
		Rate:        c.Rate,
		Log:         results,
		Seed:        1,
		Timeout:     clientTimeout,
		RequestKinds: []client.RequestKind{{
			Name:    "one",
			Method:  c.Method,
			Host:    c.Host,
			Path:    c.Path,
			Service: ident.Service(c.Service),
			Weight:  1,
		}},
	})
	counts := map[client.Outcome]int{}
	for _, result := range results.All() {
		counts[result.Outcome]++
	}
	fmt.Printf("served %d, not executed %d, unknown %d, dropped %d, wrong %d\n",
		counts[client.Served], counts[client.NotExecuted], counts[client.Unknown], counts[client.Dropped], counts[client.Wrong])
	if bad := counts[client.Wrong] + counts[client.Dropped]; bad > 0 {
		return failure.New(failure.BadResponse, "%d responses were wrong or missing", bad)
	}
	return nil
}
