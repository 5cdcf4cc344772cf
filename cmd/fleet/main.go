// Command fleet is the test program that brings up a deployment as real processes on
// loopback addresses and counts what happens against the never-list.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"cottonarch.example/cottonarch/fleet/run"
	"cottonarch.example/cottonarch/sim/plan"
)

var app struct {
	Bin        string        `default:"bin/cottonarch" help:"The cottonarch program."`
	Deployment string        `default:"prairie" enum:"prairie,volta" help:"prairie or volta."`
	For        time.Duration `default:"120s" help:"How long the traffic runs."`
	Faults     []string      `help:"Faults to bring about in turn; all for every one; none if not given."`
	Every      time.Duration `default:"3s" help:"Pause between faults."`
	Seed       uint64        `default:"1" help:"Seed of what is drawn."`
	Scale      float64       `default:"1" help:"Times the deployment's rates."`
	Keep       bool          `help:"Keep boot files, logs and data."`
}

func main() {
	k := kong.Parse(&app, kong.Name("fleet"), kong.Description("Runs a deployment as real processes and counts against the never-list."))
	faults := app.Faults
	if len(faults) == 1 && faults[0] == "all" {
		faults = run.Names()
	}
	for _, name := range faults {
		if run.Faults[name] == nil {
			k.Fatalf("there is no fault %q; there are %v", name, run.Names())
		}
	}
	dir, err := os.MkdirTemp("", "fleet")
	k.FatalIfErrorf(err)
	f, err := run.Up(run.Boot{Bin: app.Bin, Dir: dir, Deployment: plan.Deployments[app.Deployment], For: app.For, Faults: faults, Every: app.Every, Seed: app.Seed, Scale: app.Scale,
		Say: func(form string, args ...any) { fmt.Printf(form+"\n", args...) }})
	if f != nil {
		defer f.Down()
	}
	if err == nil {
		f.Drive()
		fmt.Print(f.Text())
	}
	code := 0
	if err != nil {
		fmt.Println(err)
		code = 2
	} else if len(f.Check.Breaches) > 0 {
		code = 1
	}
	if f != nil {
		f.Down()
	}
	if app.Keep || code != 0 {
		fmt.Println("boot files and logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}
