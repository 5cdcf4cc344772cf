// Package scenario runs scenarios in the simulated mesh. A scenario sets up a deployment, its load and
// its faults from options and a seed; after the run the invariants are checked.
package scenario

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/sim/world"
)

// The phases of a run: machines start, clients of the control plane begin, requests begin, and then
// faults are injected for Options.Duration. After the faults, and after finalOutageDuration if there
// is a final outage, all links are healed; after healDuration the state is read back.
const (
	startupDuration     = 2 * time.Second
	clientsDuration     = 2 * time.Second
	baselineDuration    = 5 * time.Second
	zoneLossDelay       = 2 * time.Second
	finalOutageDuration = 17 * time.Second
	healDuration        = 8 * time.Second
	readBackDuration    = 5 * time.Second
)

// historyRetention is how long keyspaces retain the history of their puts.
const historyRetention = 20 * time.Second

// seedCount is how many cores are the seeds, the cores that every machine knows at its first start.
const seedCount = 3

// The rates of lost, duplicated and delayed messages under Options.LossyLinks.
const (
	lossRate      = 0.01
	duplicateRate = 0.02
	delayRate     = 0.01
)

// The numbers of sequences, keys, keyspaces, entries and locks that clients of the control plane use,
// and the intervals between the operations of a client.
const (
	sequenceCount     = 4
	keyCount          = 12
	keyspaceCount     = 3
	entryCount        = 12
	platformLockCount = 4

	lockInterval         = 700 * time.Millisecond
	sequenceInterval     = 500 * time.Millisecond
	keyInterval          = 400 * time.Millisecond
	watchInterval        = 500 * time.Millisecond
	keyspaceInterval     = 300 * time.Millisecond
	platformLockInterval = 500 * time.Millisecond
)

// Run is one run of a scenario.
type Run struct {
	*world.World
	deployment      Deployment
	options         Options
	operators       *world.Operators
	keyClients      *world.KeyClients
	keyspaceClients *world.KeyspaceClients // nil without Options.Keyspaces
	requestRate     float64
	lastSerial      int  // serial number of the newest endpoint or replaced machine
	largeConfig     bool // the next proposed configuration is very large
}

// Simulate runs one scenario and checks the invariants. The report is World.Report.
func Simulate(deployment Deployment, options Options) *world.World {
	r := newRun(deployment, options)
	r.startMachines()
	r.RunFor(startupDuration)
	r.startEndpoints()
	r.startClients()
	r.RunFor(clientsDuration)
	loadBegan := r.Now()
	for i, s := range r.Sidecars {
		r.startCallers(s, i)
	}
	r.RunFor(baselineDuration)
	faultsEnded := r.runFaults()
	r.Links.HealAll()
	r.RunFor(healDuration)
	r.runFinalChecks(loadBegan, faultsEnded)
	return r.World
}

// newRun returns a run whose world has no machines yet.
func newRun(deployment Deployment, options Options) *Run {
	w := world.New(options.Seed)
	w.Mutant, w.Platform = options.Mutant, options.Platform
	w.HistoryRetention, w.CoreMessageCost = historyRetention, options.CoreMessageCost
	if options.LossyLinks {
		w.Links.LossRate, w.Links.DuplicateRate, w.Links.DelayRate = lossRate, duplicateRate, delayRate
	}
	r := &Run{World: w, deployment: deployment, options: options, requestRate: deployment.Rate * options.LoadFactor}
	if options.Scale > 0 {
		r.requestRate *= options.Scale
	}
	return r
}

// startMachines creates and starts the cores and then the sidecars.
func (r *Run) startMachines() {
	d := r.deployment
	for i := range d.Cores + d.ExtraCores + r.options.AddCores {
		addr := ident.Addr(fmt.Sprintf("10.0.0.%d:7000", i+1))
		if i < d.Cores {
			r.Founders = append(r.Founders, addr)
		}
		if i < seedCount {
			r.Seeds = append(r.Seeds, addr)
		}
		r.NewCore(addr, d.zoneOf(i))
	}
	for _, c := range r.Cores {
		c.Start()
	}
	for i := range d.Sidecars {
		r.NewSidecar(ident.Addr(fmt.Sprintf("10.0.1.%d:7000", i+1)), d.zoneOf(i)).Start()
	}
}

// startEndpoints starts the endpoints of all services, spread over the sidecars.
func (r *Run) startEndpoints() {
	i := 0
	for _, service := range r.deployment.Services {
		for range service.Endpoints {
			r.startEndpoint(r.Sidecars[i%len(r.Sidecars)], service.Name, "")
			i++
		}
	}
}

// startClients starts the operators, which propose configurations, and the other clients of the
// control plane.
func (r *Run) startClients() {
	d := r.deployment
	r.operators = r.StartOperators(d.ConfigInterval, r.configDocument)
	r.StartLockClients(d.clientCount(8, 2), d.Locks, lockInterval)
	r.StartSequenceClients(d.clientCount(12, 2), sequenceCount, sequenceInterval)
	r.keyClients = r.StartKeyClients(d.clientCount(4, 3), keyCount, keyInterval)
	r.StartWatcher(watchInterval)
	if r.options.Keyspaces {
		r.keyspaceClients = r.StartKeyspaceClients(d.clientCount(8, 3), keyspaceCount, entryCount, keyspaceInterval)
		r.StartPlatformLockClients(d.clientCount(8, 3), platformLockCount, platformLockInterval)
	}
}

// runFaults runs the fault phase, ends the load and returns the time when the faults ended.
func (r *Run) runFaults() monotime.Time {
	end := r.Now().Add(r.options.Duration)
	for _, scheduled := range r.options.Schedule {
		r.After(scheduled.After, func() { Faults[scheduled.Fault](r) })
	}
	if r.options.usesRandomFaults() {
		r.injectRandomFaults(end)
	}
	if r.options.LoseZone {
		r.After(zoneLossDelay, func() { r.isolateZone(r.options.Duration) })
	}
	r.World.Run(end)
	if r.options.FinalOutage {
		r.finalOutage()
		r.RunFor(finalOutageDuration)
	}
	r.requestRate, r.ClientsStopped = 0, true
	return r.Now()
}

// runFinalChecks reads the state back and runs the checks that need the whole run.
func (r *Run) runFinalChecks(loadBegan, faultsEnded monotime.Time) {
	r.operators.CheckFinalConfig()
	r.operators.CheckAuditLog()
	r.RunFor(readBackDuration)
	r.operators.ExcusePending()
	r.CompareReplicas()
	r.keyClients.CheckHistories()
	if r.keyspaceClients != nil {
		r.keyspaceClients.Checker.Finish()
	}
	r.Checker.Finish(loadBegan, faultsEnded)
}

// startEndpoint starts an endpoint beside a sidecar, at a new address if addr is empty.
func (r *Run) startEndpoint(s *world.Sidecar, service ident.Service, addr ident.Addr) *world.Endpoint {
	r.lastSerial++
	if addr == "" {
		addr = ident.Addr(fmt.Sprintf("10.0.2.%d:%d", r.lastSerial%250+1, 8000+r.lastSerial))
	}
	behavior := world.Behavior{ServiceTime: 6 * time.Millisecond, NoResponseRate: 0.002, MalformedRate: 0.002, SlowRate: 0.002}
	if r.Platform {
		behavior.ServiceTime, behavior.Slots, behavior.QueueLimit, behavior.FailureRate = 16*time.Millisecond, 2, 2, 0.005
	}
	return s.NewEndpoint(ident.Server(fmt.Sprintf("srv%d", r.lastSerial)), service, addr, behavior)
}

// startCallers starts the requests of one sidecar's clients, at an equal share of the request rate.
func (r *Run) startCallers(s *world.Sidecar, index int) {
	var next func()
	next = func() {
		if r.requestRate <= 0 {
			return
		}
		r.Call(s, r.randomRequestKind())
		interval := time.Duration(float64(time.Second) * float64(len(r.Sidecars)) / r.requestRate)
		r.After(interval/2+time.Duration(r.Rng.Int64N(int64(interval)+1)), next)
	}
	r.After(time.Duration(index)*time.Millisecond, next)
}

// randomRequestKind returns a random kind of request, weighted by RequestKind.Weight.
func (r *Run) randomRequestKind() world.RequestKind {
	kinds := r.deployment.RequestKinds
	total := 0
	for _, k := range kinds {
		total += k.Weight
	}
	offset := r.Rng.IntN(total)
	i := 0
	for offset >= kinds[i].Weight {
		offset -= kinds[i].Weight
		i++
	}
	return kinds[i]
}
