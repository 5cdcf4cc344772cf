package main

import (
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/daemon"
	"cottonarch.example/cottonarch/settings"
)

// sidecarCmd runs a sidecar.
type sidecarCmd struct{ settingsFlags }

// Run reads the settings and runs a sidecar until the process receives SIGTERM or SIGINT.
func (c sidecarCmd) Run() error {
	return startDaemon(c.settingsFlags, settings.ReadSidecar, runSidecar)
}

// runSidecar runs a sidecar with the given settings until the process receives SIGTERM or SIGINT.
func runSidecar(config settings.Sidecar, log *zap.Logger) error {
	sidecar, meshServer, clientServer := daemon.Sidecar(config, log)
	sidecar.Start()
	defer sidecar.Close()
	return serve(log, "sidecar", sidecar.Leave, meshServer, clientServer)
}
