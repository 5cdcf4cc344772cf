package main

import (
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/settings"
)

// coreLeaveTimeout bounds how long a core that stops waits for its part in operations to end.
const coreLeaveTimeout = 10 * time.Second

type coreCmd struct{ settingsFlags }

// Run runs a core.
func (c coreCmd) Run() error { return startDaemon(c.settingsFlags, settings.ReadCore, runCore) }

func runCore(config settings.Core, log *zap.Logger) error {
	core, meshServer, err := daemon.Core(config, log)
	if err != nil {
		return err
	}
	core.Start()
	defer core.Close()
	return serve(log, "core", func() { core.Leave(coreLeaveTimeout) }, meshServer)
}
