package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/server"
)

// stopTimeout bounds how long the servers of a daemon may take to stop.
const stopTimeout = 30 * time.Second

// settingsFlags are the flags of a daemon. The short flag -b comes from --boot, the deprecated name of
// --settings.
type settingsFlags struct {
	Settings       string `name:"settings" aliases:"boot" short:"b" help:"Settings file (JSON)." type:"path"`
	settings.Flags `embed:""`
	Check          bool `help:"Check the settings and end."`
}

// newLogger returns the logger of a daemon, which writes JSON to standard error.
func newLogger() (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.DisableCaller, c.DisableStacktrace, c.Sampling = true, true, nil
	return c.Build()
}

// startDaemon reads and validates the settings, creates the logger and runs the daemon. The flags
// override the settings in the JSON object of the settings file.
func startDaemon[T any](
	f settingsFlags,
	read func(map[string]any) (T, *failure.Error),
	runDaemon func(T, *zap.Logger) error,
) error {
	tree, fail := f.Load(f.Settings)
	if fail != nil {
		return fail
	}
	config, fail := read(tree)
	if fail != nil {
		return fail
	}
	return runUnlessCheck(f.Check, func(log *zap.Logger) error { return runDaemon(config, log) })
}

// runUnlessCheck runs a daemon with a new logger. If checkOnly is set, runUnlessCheck only reports
// that the settings, which the caller has validated, are valid.
func runUnlessCheck(checkOnly bool, runDaemon func(*zap.Logger) error) error {
	if checkOnly {
		fmt.Println("the settings are valid")
		return nil
	}
	log, err := newLogger()
	if err != nil {
		return failure.Wrap(err, failure.Internal, "can't create the logger")
	}
	defer func() { _ = log.Sync() }()
	return runDaemon(log)
}

// serve runs the servers until the process receives SIGTERM or SIGINT. Before serve stops the servers,
// serve calls leave.
func serve(log *zap.Logger, name string, leave func(), servers ...*server.Server) error {
	transports := make([]transport.Server, 0, len(servers))
	for _, s := range servers {
		transports = append(transports, s)
	}
	app := kratos.New(
		kratos.Name("cottonarch-"+name),
		kratos.Logger(server.InstallLogger(log)),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.BeforeStop(func(context.Context) error {
			leave()
			return nil
		}),
		kratos.Server(transports...),
	)
	if err := app.Run(); err != nil {
		return failure.Wrap(err, failure.Internal, name)
	}
	log.Info("stopped")
	return nil
}
