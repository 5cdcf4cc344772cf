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
	Binary            string        `name:"bin" required:"" help:"Path of the cottonarch program."`
	Cores             int           `default:"3" help:"Number of cores."`
	Sidecars          int           `name:"sidecars" aliases:"sides" default:"9" help:"Number of sidecars."`
	Zones             int           `name:"zones" aliases:"districts" default:"3" help:"Number of zones of the cores and sidecars."`
	Voters            int           `default:"5" help:"Maximum number of voting cores; must be odd."`
	Keys              int           `default:"0" help:"Number of small keys to write before the measurement."`
	Settle            time.Duration `default:"12s" help:"Time between the first heartbeats and the measurement."`
	Window            time.Duration `name:"for" default:"20s" help:"Duration of the measurement."`
	HeartbeatInterval time.Duration `name:"heartbeat" aliases:"beat" default:"700ms" help:"Interval between the heartbeats of an endpoint."`
	VaryLoad          bool          `name:"vary" help:"Report a different load in each heartbeat of an endpoint."`
	Profile           string        `help:"Folder for CPU profiles of one core and one sidecar, taken with perf; no profiles if empty."`
}

func main() {
	k := kong.Parse(&flags, kong.Name("idlecost"), kong.Description("Measures the resource usage of an idle deployment."))
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
