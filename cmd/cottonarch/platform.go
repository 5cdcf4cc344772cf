package main

import (
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/platform"
)

// platformCmd runs a daemon with the settings file of the platform.
type platformCmd struct {
	Check bool `help:"Check the settings file and end."`
}

// Run runs a core or a sidecar, as the platform's settings file says.
func (c platformCmd) Run() error {
	loaded, fail := platform.Load()
	if fail != nil {
		return fail
	}
	return runUnlessCheck(c.Check, func(log *zap.Logger) error { return platform.Run(loaded, log, serve) })
}
