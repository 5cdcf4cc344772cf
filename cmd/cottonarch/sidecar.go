package main

import (
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/settings"
)

type sidecarCmd struct{ settingsFlags }

// Run runs a sidecar.
func (c sidecarCmd) Run() error {
	return startDaemon(c.settingsFlags, settings.ReadSidecar, runSidecar)
}

func runSidecar(config settings.Sidecar, log *zap.Logger) error {
	sidecar, meshServer, clientServer := daemon.Sidecar(config, log)
	sidecar.Start()
	defer sidecar.Close()
	return serve(log, "sidecar", sidecar.Leave, meshServer, clientServer)
}
