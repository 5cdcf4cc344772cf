// Command idlecost measures what an idle deployment costs: real processes on loopback
// addresses, an endpoint's heartbeats at each sidecar and no requests. It needs Linux and ss.
package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"cottonarch.example/cottonarch/fleet/idlecost"
)

// app is the command line. Flags that have an alias were renamed; the alias is the old name.
var app struct {
	Binary            string        `name:"bin" required:"" help:"The cottonarch program."`
	Cores             int           `default:"3" help:"How many cores."`
	Sidecars          int           `name:"sidecars" aliases:"sides" default:"9" help:"How many sidecars."`
	Zones             int           `name:"zones" aliases:"districts" default:"3" help:"How many zones they are spread over."`
	Voters            int           `default:"5" help:"How many cores vote, at most; odd."`
	Keys              int           `default:"0" help:"How many small keys are written first."`
	Settle            time.Duration `default:"12s" help:"How long to wait before measuring."`
	Window            time.Duration `name:"for" default:"20s" help:"How long to measure."`
	HeartbeatInterval time.Duration `name:"heartbeat" aliases:"beat" default:"700ms" help:"How often an endpoint sends a heartbeat."`
	VaryLoad          bool          `name:"vary" help:"Let every heartbeat report another load."`
	Profile           string        `help:"Folder of processor profiles, taken with perf of one core and one sidecar."`
}

func main() {
	k := kong.Parse(&app, kong.Name("idlecost"), kong.Description("Measures what an idle deployment costs."))
	report, err := idlecost.Measure(idlecost.Options{
		Binary:            app.Binary,
		Cores:             app.Cores,
		Sidecars:          app.Sidecars,
		Zones:             app.Zones,
		Voters:            app.Voters,
		Keys:              app.Keys,
		SettleTime:        app.Settle,
		Window:            app.Window,
		HeartbeatInterval: app.HeartbeatInterval,
		VaryLoad:          app.VaryLoad,
		ProfileDir:        app.Profile,
	})
	k.FatalIfErrorf(err)
	fmt.Print(report.Text())
}
