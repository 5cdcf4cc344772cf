package main

import (
	"fmt"

	"cottonarch.example/cottonarch/base/failure"
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
	if c.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	log, err := newLogger()
	if err != nil {
		return failure.Wrap(err, failure.Internal, "log")
	}
	defer func() { _ = log.Sync() }()
	return platform.Run(loaded, log, serve)
}
