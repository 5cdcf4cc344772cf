// Package scenario runs days of a simulated mesh: it sets up a deployment, its load and its
// faults from options and a seed, and judges what happened.
package scenario

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/sim/world"
)

// The stages of a day: machines start, clients of the control plane begin, requests begin, and
// then there are faults. After them, and after the time that a final outage takes, everything
// is healed, and the state is read back some time later.
const (
	startTime       = 2 * time.Second
	clientsTime     = 2 * time.Second
	normalTime      = 5 * time.Second
	zoneLossDelay   = 2 * time.Second
	finalOutageTime = 17 * time.Second
	healTime        = 8 * time.Second
	readBackTime    = 5 * time.Second
)

// historyRetention is how long keyspaces retain their puts.
const historyRetention = 20 * time.Second

// seedCount is how many cores the others know when they first start.
const seedCount = 3

// The links of Options.LossyLinks.
const (
	lossRate      = 0.01
	duplicateRate = 0.02
	delayRate     = 0.01
)

// What the clients of the control plane use, and the intervals at which they do.
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

// Run is one simulated day.
type Run struct {
	*world.World
	deployment      Deployment
	options         Options
	operators       *world.Operators
	keyClients      *world.KeyClients
	keyspaceClients *world.KeyspaceClients // nil without Options.Keyspaces
	requestRate     float64
	serial          int  // of the newest endpoint or replaced machine
	largeConfig     bool // the next configuration is very large
}

// Simulate runs one day and judges it.
func Simulate(deployment Deployment, options Options) *world.World {
	r := newRun(deployment, options)
	r.startMachines()
	r.RunFor(startTime)
	r.startEndpoints()
	r.startClients()
	r.RunFor(clientsTime)
	loadBegan := r.Now()
	for i, s := range r.Sidecars {
		r.startCallers(s, i)
	}
	r.RunFor(normalTime)
	faultsEnded := r.runFaults()
	r.Links.HealAll()
	r.RunFor(healTime)
	r.judge(loadBegan, faultsEnded)
	return r.World
}

// newRun makes the world of a day, still without machines.
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

// startMachines starts the cores and then the sidecars.
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

// startClients starts the operators and the other clients of the control plane.
func (r *Run) startClients() {
	d := r.deployment
	r.operators = r.StartOperators(d.ConfigInterval, r.configDocument)
	r.StartLockClients(d.clients(8, 2), d.Locks, lockInterval)
	r.StartSequenceClients(d.clients(12, 2), sequenceCount, sequenceInterval)
	r.keyClients = r.StartKeyClients(d.clients(4, 3), keyCount, keyInterval)
	r.StartWatcher(watchInterval)
	if r.options.Keyspaces {
		r.keyspaceClients = r.StartKeyspaceClients(d.clients(8, 3), keyspaceCount, entryCount, keyspaceInterval)
		r.StartPlatformLockClients(d.clients(8, 3), platformLockCount, platformLockInterval)
	}
}

// runFaults runs the time under faults and ends the load; it returns when the faults ended.
func (r *Run) runFaults() monotime.Time {
	end := r.Now().Add(r.options.Duration)
	for _, scheduled := range r.options.Schedule {
		r.After(scheduled.After, func() { Faults[scheduled.Fault](r) })
	}
	if r.options.drawsFaults() {
		r.injectFaults(end)
	}
	if r.options.LoseZone {
		r.After(zoneLossDelay, func() { r.cutZone(r.options.Duration) })
	}
	r.World.Run(end)
	if r.options.FinalOutage {
		r.finalOutage()
		r.RunFor(finalOutageTime)
	}
	r.requestRate, r.ClientsStopped = 0, true
	return r.Now()
}

// judge reads the state back and checks what can be judged only at the end.
func (r *Run) judge(loadBegan, faultsEnded monotime.Time) {
	r.operators.CheckFinalConfig()
	r.operators.CheckAuditLog()
	r.RunFor(readBackTime)
	r.operators.ExcusePending()
	r.CompareReplicas()
	r.keyClients.CheckHistories()
	if r.keyspaceClients != nil {
		r.keyspaceClients.Checker.Finish()
	}
	r.Checker.Finish(loadBegan, faultsEnded)
}

// startEndpoint starts an endpoint beside a sidecar, at a new address if none is given.
func (r *Run) startEndpoint(s *world.Sidecar, service ident.Service, addr ident.Addr) *world.Endpoint {
	r.serial++
	if addr == "" {
		addr = ident.Addr(fmt.Sprintf("10.0.2.%d:%d", r.serial%250+1, 8000+r.serial))
	}
	behavior := world.Behavior{ServiceTime: 6 * time.Millisecond, NoResponseRate: 0.002, MalformedRate: 0.002, SlowRate: 0.002}
	if r.Platform {
		behavior.ServiceTime, behavior.Slots, behavior.QueueLimit, behavior.FailureRate = 16*time.Millisecond, 2, 2, 0.005
	}
	return s.NewEndpoint(ident.Server(fmt.Sprintf("srv%d", r.serial)), service, addr, behavior)
}

// startCallers sends requests beside a sidecar, at its part of the rate.
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

// randomRequestKind draws a kind of request by its weight.
func (r *Run) randomRequestKind() world.RequestKind {
	kinds := r.deployment.RequestKinds
	total := 0
	for _, k := range kinds {
		total += k.Weight
	}
	ticket := r.Rng.IntN(total)
	i := 0
	for ticket >= kinds[i].Weight {
		ticket -= kinds[i].Weight
		i++
	}
	return kinds[i]
}
