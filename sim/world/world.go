package world

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/storage/ring"
)

// The defaults of a world, and the second seed of its random generator.
const (
	defaultMaxSenders = 64
	defaultRingFiles  = 6
	defaultRingSize   = 256 << 10
	seedStream        = 0x5eed
)

// World is a simulated mesh: its machines, network, clients and checkers.
type World struct {
	Clock
	Links          Links
	Cores          []*Core
	Sidecars       []*Sidecar
	Seeds          []ident.Addr
	Founders       []ident.Addr
	Ring           ring.Options
	Checker        *invariant.Checker
	Trace          []string
	OperationTimes []time.Duration // durations of the operations that succeeded
	// MaxSenders is the number of requests that a sidecar sends concurrently, and the size of its queues.
	MaxSenders int
	// HistoryRetention is how long a keyspace retains its puts. 0 selects the default.
	HistoryRetention time.Duration
	// Platform simulates the users' platform: endpoints have slots, a queue and a longer heartbeat
	// interval, and reject requests that name another endpoint; sidecars have admission queues; and
	// the unsynced writes of a killed core stay in the page cache until power is lost.
	Platform bool
	// CoreMessageCost is the processing time of each message and request that reaches a core, as on
	// a machine where the core has only a share of a processor. 0 means no processing time.
	CoreMessageCost time.Duration
	// ClientsStopped makes clients begin no new operations. The client of StartWatcher continues.
	ClientsStopped bool
	// Mutant is the fault that is put into the system on purpose, to show that the checkers detect
	// the broken rule.
	Mutant Mutant

	endpoints map[ident.Addr]*Endpoint
	diskCount int
	callCount int
	counters  counters
}

// counters counts the results that clients of the control plane received.
type counters struct {
	configsConfirmed, configsRejected, configsUnknown          int
	operationsSucceeded, operationsRejected, operationsUnknown int
	watchEvents                                                int
}

// New returns an empty world. Its run is deterministic for a given seed.
func New(seed uint64) *World {
	w := &World{
		Links:      newLinks(),
		Ring:       ring.Options{FileCount: defaultRingFiles, FileSize: defaultRingSize},
		Checker:    invariant.New(),
		MaxSenders: defaultMaxSenders,
		endpoints:  map[ident.Addr]*Endpoint{},
	}
	w.Rng = rand.New(rand.NewPCG(seed, seedStream))
	return w
}

// Tracef appends a line with the current time to the trace.
func (w *World) Tracef(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%9.3fs ", time.Duration(w.now).Seconds())+fmt.Sprintf(format, args...))
}

// Violate records that a rule is broken at the current time.
func (w *World) Violate(rule, format string, args ...any) {
	w.Checker.Violate(w.now, rule, format, args...)
}

// Now returns the virtual time.
func (w *World) Now() monotime.Time { return w.now }

// RunFor runs the world for a duration of virtual time.
func (w *World) RunFor(duration time.Duration) { w.Run(w.now.Add(duration)) }

// randomUpTo returns a random duration from 0 up to, but not including, the limit.
func (w *World) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.Rng.Int64N(int64(limit)))
}

// jittered returns a random duration from half to one and a half of the interval.
func (w *World) jittered(interval time.Duration) time.Duration {
	return interval/2 + w.randomUpTo(interval)
}

// machineAddrs returns the addresses of all machines, beginning with the cores.
func (w *World) machineAddrs() []ident.Addr {
	addrs := w.coreAddrs()
	for _, s := range w.Sidecars {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

// coreAddrs returns the addresses of all cores.
func (w *World) coreAddrs() []ident.Addr {
	addrs := make([]ident.Addr, len(w.Cores))
	for i, c := range w.Cores {
		addrs[i] = c.Addr
	}
	return addrs
}

// coreAt returns the core with an address, or nil if there is none.
func (w *World) coreAt(addr ident.Addr) *Core {
	for _, c := range w.Cores {
		if c.Addr == addr {
			return c
		}
	}
	return nil
}

// sidecarAt returns the sidecar with an address, or nil if there is none.
func (w *World) sidecarAt(addr ident.Addr) *Sidecar {
	for _, s := range w.Sidecars {
		if s.Addr == addr {
			return s
		}
	}
	return nil
}
