package main

import (
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/platform"
)

type platformCmd struct {
	Check bool `help:"Check the settings file and end."`
}

// Run runs the role that the platform's settings file gives.
func (c platformCmd) Run() error {
	loaded, fail := platform.Load()
	if fail != nil {
		return fail
	}
	return runUnlessCheck(c.Check, func(log *zap.Logger) error { return platform.Run(loaded, log, serve) })
}
