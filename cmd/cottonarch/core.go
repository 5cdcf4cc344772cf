package main

import (
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/settings"
)

// coreLeaveTimeout bounds how long a stopping core waits for the operations that it takes part in.
const coreLeaveTimeout = 10 * time.Second

// coreCmd runs a core.
type coreCmd struct{ settingsFlags }

// Run reads the settings and runs a core until the process receives SIGTERM or SIGINT.
func (c coreCmd) Run() error { return startDaemon(c.settingsFlags, settings.ReadCore, runCore) }

// runCore runs a core with the given settings until the process receives SIGTERM or SIGINT.
func runCore(config settings.Core, log *zap.Logger) error {
	core, meshServer, err := daemon.Core(config, log)
	if err != nil {
		return err
	}
	core.Start()
	defer core.Close()
	return serve(log, "core", func() { core.Leave(coreLeaveTimeout) }, meshServer)
}
