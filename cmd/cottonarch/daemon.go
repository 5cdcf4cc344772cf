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

// stopTimeout bounds the stop of each server of a daemon.
const stopTimeout = 30 * time.Second

// settingsFlags are the flags of a daemon; -b is short for --boot, the old name of --settings.
type settingsFlags struct {
	Settings       string `name:"settings" aliases:"boot" short:"b" help:"Settings file (JSON)." type:"path"`
	settings.Flags `embed:""`
	Check          bool `help:"Check the settings and end."`
}

// newLogger makes the logger of a daemon, which writes JSON to standard error.
func newLogger() (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.DisableCaller, c.DisableStacktrace, c.Sampling = true, true, nil
	return c.Build()
}

// startDaemon reads and checks the settings, makes the logger and runs the daemon. The settings are
// read from the JSON object of the file, overridden by the flags.
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

// runUnlessCheck runs a daemon whose settings are valid with a new logger, or only reports that
// they are if checkOnly is set.
func runUnlessCheck(checkOnly bool, runDaemon func(*zap.Logger) error) error {
	if checkOnly {
		fmt.Println("the settings are valid")
		return nil
	}
	log, err := newLogger()
	if err != nil {
		return failure.Wrap(err, failure.Internal, "log")
	}
	defer func() { _ = log.Sync() }()
	return runDaemon(log)
}

// serve runs the servers until the process gets SIGTERM or SIGINT. It calls leave before it stops
// them.
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
