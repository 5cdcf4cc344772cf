// Command cottonarch is the one program of the mesh; the role is a subcommand.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/run"
	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/platform"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/sim/scenario"
	"cottonarch.example/cottonarch/standin/client"
	"cottonarch.example/cottonarch/standin/endpoint"
	"cottonarch.example/cottonarch/wire/server"
)

var app struct {
	Core     coreCmd         `cmd:"" help:"Run a core: control state on disk, the registry, coordination."`
	Sidecar  sidecarCmd      `cmd:"" help:"Run a sidecar: the node beside an application."`
	Platform platformCmd     `cmd:"" help:"Run the role that the platform's settings file gives, speaking as the platform does."`
	Simulate simulateCmd     `cmd:"" help:"Ask what-if questions of a simulated deployment; ends with 1 when a rule breaks."`
	Explore  exploreCmd      `cmd:"" help:"Check the control plane's steps over all orders of messages and faults up to a bound; ends with 1 when a rule breaks."`
	Endpoint endpointCmd     `cmd:"" help:"Run a stand-in endpoint."`
	Caller   callerCmd       `cmd:"" help:"Run stand-in callers and print what they were told."`
	Capacity capacityCmd     `cmd:"" help:"Measure what a mesh costs as it grows, and what that says of a larger one."`
	Part     capacityPartCmd `cmd:"" hidden:"" name:"capacity-part" help:"One process of a measured mesh; takes orders on its input."`
	operatorCmds
}

type bootFlags struct {
	Boot           string `short:"b" help:"Boot file (JSON)." type:"path"`
	settings.Flags `embed:""`
	Check          bool `help:"Check the boot and end."`
}

func (b bootFlags) tree() (map[string]any, error) {
	m, d := b.Load(b.Boot)
	if d != nil {
		return nil, d
	}
	return m, nil
}

type coreCmd struct{ bootFlags }

type sidecarCmd struct{ bootFlags }

func logger() (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.DisableCaller, c.DisableStacktrace, c.Sampling = true, true, nil
	return c.Build()
}

// start reads and checks the boot, makes the log and runs the daemon.
func start[T any](f bootFlags, read func(map[string]any) (T, *failure.Error), daemon func(T, *zap.Logger) error) error {
	m, err := f.tree()
	if err != nil {
		return err
	}
	b, d := read(m)
	if d != nil {
		return d
	}
	if f.Check {
		fmt.Println("the boot is good")
		return nil
	}
	log, err := logger()
	if err != nil {
		return failure.Wrap(err, failure.Internal, "log")
	}
	defer func() { _ = log.Sync() }()
	return daemon(b, log)
}

func (c coreCmd) Run() error { return start(c.bootFlags, settings.ReadCore, runCore) }

func runCore(b settings.Core, log *zap.Logger) error {
	daemon, srv, err := daemon.Core(b, log)
	if err != nil {
		return err
	}
	daemon.Start()
	defer daemon.Close()
	return serve(log, "core", func() { daemon.Leave(10 * time.Second) }, srv)
}

func (c sidecarCmd) Run() error { return start(c.bootFlags, settings.ReadSidecar, runSidecar) }

func runSidecar(b settings.Sidecar, log *zap.Logger) error {
	daemon, srv, front := daemon.Sidecar(b, log)
	daemon.Start()
	defer daemon.Close()
	return serve(log, "sidecar", daemon.Leave, srv, front)
}

type platformCmd struct {
	Check bool `help:"Check the settings file and end."`
}

func (c platformCmd) Run() error {
	s, d := platform.Load()
	if d != nil {
		return d
	}
	if c.Check {
		fmt.Println("the settings are good")
		return nil
	}
	log, err := logger()
	if err != nil {
		return failure.Wrap(err, failure.Internal, "log")
	}
	defer func() { _ = log.Sync() }()
	return platform.Run(s, log, serve)
}

// serve runs the servers until the platform says stop; leave is done first.
func serve(log *zap.Logger, name string, leave func(), servers ...*server.Server) error {
	opts := []kratos.Option{kratos.Name("cottonarch-" + name), kratos.Logger(server.Logger(log)), kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(30 * time.Second), kratos.BeforeStop(func(context.Context) error {
			leave()
			return nil
		})}
	all := make([]transport.Server, 0, len(servers))
	for _, s := range servers {
		all = append(all, s)
	}
	opts = append(opts, kratos.Server(all...))
	if err := kratos.New(opts...).Run(); err != nil {
		return failure.Wrap(err, failure.Internal, name)
	}
	log.Info("stopped")
	return nil
}

type endpointCmd struct {
	Server  string        `required:"" help:"serverId of this run."`
	Service string        `required:"" help:"Service it serves."`
	Address string        `required:"" help:"Own address, ip:port."`
	Sidecar string        `required:"" help:"The sidecar's own address, which takes the beats."`
	Work    time.Duration `default:"2ms" help:"How long a request takes."`
	Lose    float64       `help:"Part of requests that are run and get no return."`
	Garbage float64       `help:"Part that get garbage."`
	Cut     float64       `help:"Part whose return breaks off."`
}

func (c endpointCmd) Run() error {
	e, err := endpoint.Start(endpoint.Boot{Server: ident.Server(c.Server), Service: ident.Service(c.Service), Addr: ident.Addr(c.Address), Beat: ident.Addr(c.Sidecar),
		Mood: endpoint.Mood{Work: c.Work, Lose: c.Lose, Garbage: c.Garbage, Cut: c.Cut}})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "endpoint")
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	e.Stop(5 * time.Second)
	return nil
}

type callerCmd struct {
	Address string        `required:"" help:"The sidecar's caller address."`
	Host    string        `required:"" help:"Host of the requests."`
	Path    string        `default:"/" help:"Path of the requests."`
	Method  string        `default:"GET" help:"Method of the requests."`
	Service string        `required:"" help:"Service whose returns are expected."`
	Rate    float64       `default:"20" help:"Requests a second."`
	For     time.Duration `default:"5s" help:"How long."`
}

func (c callerCmd) Run() error {
	book := &client.Book{}
	ctx, stop := context.WithTimeout(context.Background(), c.For)
	defer stop()
	client.Run(ctx, client.Boot{Name: "caller", Addr: ident.Addr(c.Address), Rate: c.Rate, Book: book, Seed: 1, Limit: 10 * time.Second,
		Kinds: []client.Kind{{Name: "one", Method: c.Method, Host: c.Host, Path: c.Path, Service: ident.Service(c.Service), Weight: 1}}})
	sums := map[client.Fate]int{}
	for _, t := range book.All() {
		sums[t.Fate]++
	}
	fmt.Printf("served %d, not run %d, unknown %d, dropped %d, wrong %d\n", sums[client.Served], sums[client.NotRun], sums[client.Unknown], sums[client.Dropped], sums[client.Wrong])
	if sums[client.Wrong]+sums[client.Dropped] > 0 {
		return failure.New(failure.BadResponse, "%d returns were wrong or dropped", sums[client.Wrong]+sums[client.Dropped])
	}
	return nil
}

func main() {
	k := kong.Parse(&app, kong.Name("cottonarch"), kong.Description("A service mesh: cores hold the control state, sidecars carry the traffic."), kong.UsageOnError(),
		exploreVars(), kong.Vars{"faults": strings.Join(scenario.FaultNames(), ", "), "breaks": strings.Join(scenario.MutantNames(), ", "), "loads": strings.Join(run.WorkloadNames(), ", ")},
		kong.Exit(func(code int) {
			if code != 0 && code != 1 {
				code = 2 // a wrong command line is bad input too
			}
			os.Exit(code)
		}))
	err := k.Run()
	if err == nil {
		return
	}
	d := failure.From(err)
	fmt.Fprintln(os.Stderr, "cottonarch:", d.Error())
	os.Exit(exits(d))
}

// exits gives the exit code: 2 for bad input, 1 for the rest.
func exits(d *failure.Error) int {
	if d.Kind == failure.BadSettings {
		return 2
	}
	return 1
}
