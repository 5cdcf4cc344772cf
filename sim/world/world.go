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

// The defaults of a world.
const (
	defaultMaxSenders = 64
	defaultRingFiles  = 6
	defaultRingSize   = 256 << 10
	seedStream        = 0x5eed
)

// World is the whole simulated mesh.
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
	OperationTimes []time.Duration // of the operations that succeeded
	// MaxSenders is how many requests a sidecar sends at once, and the size of its queues.
	MaxSenders int
	// HistoryRetention is how long a keyspace retains its puts, the default if 0.
	HistoryRetention time.Duration
	// Platform makes the world as the users' platform has it: endpoints have slots, a queue
	// and a heartbeat interval of their own, and reject what names another one; sidecars
	// have admission queues; and what a killed core has not synced stays in the page cache
	// until power is lost.
	Platform bool
	// CoreMessageCost is how long a core's process takes for each message and request that
	// reaches it, as one with a part of a processor does; 0 means no time.
	CoreMessageCost time.Duration
	// ClientsStopped says that clients begin nothing new.
	ClientsStopped bool
	// Mutant is the rule that is broken on purpose, to see the checkers catch it.
	Mutant Mutant

	endpoints map[ident.Addr]*Endpoint
	diskCount int
	callCount int
	counters  counters
}

// counters count what clients of the control plane were told.
type counters struct {
	configsConfirmed, configsRejected, configsUnknown          int
	operationsSucceeded, operationsRejected, operationsUnknown int
	watchEvents                                                int
}

// New makes an empty world; all that happens in it follows from the seed.
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

// Tracef writes a line of the trace.
func (w *World) Tracef(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%9.3fs ", time.Duration(w.now).Seconds())+fmt.Sprintf(format, args...))
}

// Violate notes that a rule is broken now.
func (w *World) Violate(rule, format string, args ...any) {
	w.Checker.Violate(w.now, rule, format, args...)
}

// Now is the virtual time.
func (w *World) Now() monotime.Time { return w.now }

// RunFor runs the world for a span of virtual time.
func (w *World) RunFor(duration time.Duration) { w.Run(w.now.Add(duration)) }

// randomUpTo draws a duration from 0 up to, but not including, the limit.
func (w *World) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.Rng.Int64N(int64(limit)))
}

// jittered draws a duration from half to one and a half of the interval.
func (w *World) jittered(interval time.Duration) time.Duration {
	return interval/2 + w.randomUpTo(interval)
}

// machineAddrs lists the addresses of all machines.
func (w *World) machineAddrs() []ident.Addr {
	addrs := w.coreAddrs()
	for _, s := range w.Sidecars {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

func (w *World) coreAddrs() []ident.Addr {
	addrs := make([]ident.Addr, len(w.Cores))
	for i, c := range w.Cores {
		addrs[i] = c.Addr
	}
	return addrs
}

// coreAt is the core with an address, nil if there is none.
func (w *World) coreAt(addr ident.Addr) *Core {
	for _, c := range w.Cores {
		if c.Addr == addr {
			return c
		}
	}
	return nil
}

// sidecarAt is the sidecar with an address, nil if there is none.
func (w *World) sidecarAt(addr ident.Addr) *Sidecar {
	for _, s := range w.Sidecars {
		if s.Addr == addr {
			return s
		}
	}
	return nil
}
