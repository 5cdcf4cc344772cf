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

type settingsFlags struct {
	Boot           string `short:"b" help:"Boot file (JSON)." type:"path"`
	settings.Flags `embed:""`
	Check          bool `help:"Check the boot and end."`
}

func (f settingsFlags) load() (map[string]any, error) {
	tree, fail := f.Load(f.Boot)
	if fail != nil {
		return nil, fail
	}
	return tree, nil
}

type coreCmd struct{ settingsFlags }

type sidecarCmd struct{ settingsFlags }

func newLogger() (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.DisableCaller, c.DisableStacktrace, c.Sampling = true, true, nil
	return c.Build()
}

// startDaemon reads and checks the boot, makes the log and runs the daemon.
func startDaemon[T any](f settingsFlags, read func(map[string]any) (T, *failure.Error), run func(T, *zap.Logger) error) error {
	tree, err := f.load()
	if err != nil {
		return err
	}
	config, fail := read(tree)
	if fail != nil {
		return fail
	}
	if f.Check {
		fmt.Println("the boot is good")
		return nil
	}
	log, err := newLogger()
	if err != nil {
		return failure.Wrap(err, failure.Internal, "log")
	}
	defer func() { _ = log.Sync() }()
	return run(config, log)
}

func (c coreCmd) Run() error { return startDaemon(c.settingsFlags, settings.ReadCore, runCore) }

func runCore(config settings.Core, log *zap.Logger) error {
	daemon, srv, err := daemon.Core(config, log)
	if err != nil {
		return err
	}
	daemon.Start()
	defer daemon.Close()
	return serve(log, "core", func() { daemon.Leave(10 * time.Second) }, srv)
}

func (c sidecarCmd) Run() error {
	return startDaemon(c.settingsFlags, settings.ReadSidecar, runSidecar)
}

func runSidecar(config settings.Sidecar, log *zap.Logger) error {
	daemon, meshServer, clientServer := daemon.Sidecar(config, log)
	daemon.Start()
	defer daemon.Close()
	return serve(log, "sidecar", daemon.Leave, meshServer, clientServer)
}

type platformCmd struct {
	Check bool `help:"Check the settings file and end."`
}

func (c platformCmd) Run() error {
	loaded, fail := platform.Load()
	if fail != nil {
		return fail
	}
	if c.Check {
		fmt.Println("the settings are good")
		return nil
	}
	log, err := newLogger()
	if err != nil {
		return failure.Wrap(err, failure.Internal, "log")
	}
	defer func() { _ = log.Sync() }()
	return platform.Run(loaded, log, serve)
}

// serve runs the servers until the platform says stop; leave is done first.
func serve(log *zap.Logger, name string, leave func(), servers ...*server.Server) error {
	options := []kratos.Option{kratos.Name("cottonarch-" + name), kratos.Logger(server.Logger(log)), kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(30 * time.Second), kratos.BeforeStop(func(context.Context) error {
			leave()
			return nil
		})}
	transports := make([]transport.Server, 0, len(servers))
	for _, s := range servers {
		transports = append(transports, s)
	}
	options = append(options, kratos.Server(transports...))
	if err := kratos.New(options...).Run(); err != nil {
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
	e, err := endpoint.Start(endpoint.Options{Server: ident.Server(c.Server), Service: ident.Service(c.Service), Addr: ident.Addr(c.Address), SidecarAddr: ident.Addr(c.Sidecar),
		Behavior: endpoint.Behavior{WorkTime: c.Work, LostShare: c.Lose, GarbageShare: c.Garbage, TruncatedShare: c.Cut}})
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
	results := &client.Log{}
	ctx, cancel := context.WithTimeout(context.Background(), c.For)
	defer cancel()
	client.Run(ctx, client.Options{Name: "caller", SidecarAddr: ident.Addr(c.Address), Rate: c.Rate, Log: results, Seed: 1, Timeout: 10 * time.Second,
		Kinds: []client.Kind{{Name: "one", Method: c.Method, Host: c.Host, Path: c.Path, Service: ident.Service(c.Service), Weight: 1}}})
	counts := map[client.Outcome]int{}
	for _, result := range results.All() {
		counts[result.Outcome]++
	}
	fmt.Printf("served %d, not run %d, unknown %d, dropped %d, wrong %d\n", counts[client.Served], counts[client.NotExecuted], counts[client.Unknown], counts[client.Dropped], counts[client.Wrong])
	if counts[client.Wrong]+counts[client.Dropped] > 0 {
		return failure.New(failure.BadResponse, "%d returns were wrong or dropped", counts[client.Wrong]+counts[client.Dropped])
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
	fail := failure.From(err)
	fmt.Fprintln(os.Stderr, "cottonarch:", fail.Error())
	os.Exit(exitCode(fail))
}

// exitCode gives the exit code: 2 for bad input, 1 for the rest.
func exitCode(fail *failure.Error) int {
	if fail.Kind == failure.BadSettings {
		return 2
	}
	return 1
}
