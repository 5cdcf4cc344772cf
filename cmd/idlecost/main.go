// Command idlecost measures the resource usage of an idle deployment. The deployment consists of real
// processes on loopback addresses; each sidecar receives the heartbeats of an endpoint, and no
// requests are sent. The command needs Linux and the ss utility.
package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"cottonarch.example/cottonarch/fleet/idlecost"
)

// flags is the command line. A flag that has an alias was renamed; the alias is the deprecated name.
var flags struct {
	Binary            string        `name:"bin" required:"" help:"The cottonarch program."`
	Cores             int           `default:"3" help:"How many cores."`
	Sidecars          int           `name:"sidecars" aliases:"sides" default:"9" help:"How many sidecars."`
	Zones             int           `name:"zones" aliases:"districts" default:"3" help:"How many zones the processes are spread over."`
	Voters            int           `default:"5" help:"How many cores vote, at most; odd."`
	Keys              int           `default:"0" help:"How many small keys are written first."`
	Settle            time.Duration `default:"12s" help:"How long to wait before measuring."`
	Window            time.Duration `name:"for" default:"20s" help:"How long to measure."`
	HeartbeatInterval time.Duration `name:"heartbeat" aliases:"beat" default:"700ms" help:"How often an endpoint sends a heartbeat."`
	VaryLoad          bool          `name:"vary" help:"Let every heartbeat report another load."`
	Profile           string        `help:"Folder of processor profiles, taken with perf of one core and one sidecar."`
}

func main() {
	k := kong.Parse(&flags, kong.Name("idlecost"), kong.Description("Measures what an idle deployment costs."))
	report, err := idlecost.Measure(idlecost.Options{
		Binary:            flags.Binary,
		Cores:             flags.Cores,
		Sidecars:          flags.Sidecars,
		Zones:             flags.Zones,
		Voters:            flags.Voters,
		Keys:              flags.Keys,
		SettleTime:        flags.Settle,
		Window:            flags.Window,
		HeartbeatInterval: flags.HeartbeatInterval,
		VaryLoad:          flags.VaryLoad,
		ProfileDir:        flags.Profile,
	})
	k.FatalIfErrorf(err)
	fmt.Print(report.Text())
}
