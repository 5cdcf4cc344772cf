package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
)

const (
	// clientBudget is how long a core works at an operation of an application, and
	// clientTimeout after what silence the application goes on to another core.
	clientBudget  = 900 * time.Millisecond
	clientTimeout = time.Second
	// putAttempts is how often a put is sent whose outcome is unknown, and putRetryDelay how
	// long it waits each time.
	putAttempts   = 4
	putRetryDelay = 50 * time.Millisecond
)

// KeyspaceClients are clients that put, read and watch the entries of a few keyspaces, as
// applications do that go on to another core after a timeout and repeat what got no clear
// response.
type KeyspaceClients struct {
	world         *World
	keyspaceCount int
	entryCount    int
	interval      time.Duration
	valueCount    int
	Checker       *invariant.KeyspaceChecker
}

// StartKeyspaceClients starts clients that put and read about once an interval, and a watch of
// each keyspace.
func (w *World) StartKeyspaceClients(clients, keyspaceCount, entryCount int, interval time.Duration) *KeyspaceClients {
	u := &KeyspaceClients{world: w, keyspaceCount: keyspaceCount, entryCount: entryCount, interval: interval, Checker: w.Checker.NewKeyspaceChecker()}
	for range clients {
		w.After(w.randomUpTo(interval), u.operate)
	}
	for i := range keyspaceCount {
		u.watch(fmt.Sprintf("g%d.", i), 0, 0)
	}
	return u
}

func (u *KeyspaceClients) pause() { u.world.After(u.world.jittered(u.interval), u.operate) }

// request sends an operation on a keyspace.
func (u *KeyspaceClients) request(space, kind string, args keyspace.Args, end func(*node.Result)) {
	op := proposer.Operation{Key: keyspace.ControlKey(space), Kind: kind, Args: operation.Encode(args)}
	u.world.requestWithin(op, clientBudget, clientTimeout, end)
}

// operate reads or puts some entry, the latter with or without a condition.
func (u *KeyspaceClients) operate() {
	w := u.world
	if w.ClientsStopped {
		return
	}
	space, name := fmt.Sprintf("g%d.", w.Rng.IntN(u.keyspaceCount)), fmt.Sprintf("c%d", w.Rng.IntN(u.entryCount))
	u.valueCount++
	floor := u.Checker.EntryFloor[space+name]
	switch w.Rng.IntN(4) {
	case 0:
		u.read(space, name, floor)
	case 1:
		u.newPut(space, name, &floor).send(putAttempts)
	default:
		u.newPut(space, name, nil).send(putAttempts)
	}
}

// read reads an entry, whose newest acknowledged revision is the floor.
func (u *KeyspaceClients) read(space, name string, floor ident.Revision) {
	u.request(space, keyspace.ReadKind, keyspace.Args{Name: name}, func(result *node.Result) {
		var entry keyspace.Put
		switch {
		case failedWith(result, failure.NotFound):
			u.Checker.Read(u.world.now, space, name, "", floor, 0)
		case succeeded(result, &entry):
			u.Checker.Read(u.world.now, space, name, string(entry.Value), floor, entry.Revision)
		}
		u.pause()
	})
}

// entryPut is a put of a new value, which is sent until its outcome is clear.
type entryPut struct {
	*KeyspaceClients
	space        string
	args         keyspace.Args
	newestBefore ident.Revision // the newest acknowledged of the keyspace when it was first sent
}

// newPut makes a put of a value that was never put before, conditional on the base if given.
func (u *KeyspaceClients) newPut(space, name string, base *ident.Revision) *entryPut {
	value := operation.Encode(fmt.Sprintf("v%d", u.valueCount))
	return &entryPut{u, space, keyspace.Args{Name: name, Value: value, IfRevision: base}, u.Checker.KeyspaceFloor[space]}
}

func (p *entryPut) send(attempts int) {
	p.request(p.space, keyspace.PutKind, p.args, func(result *node.Result) {
		w, name, value := p.world, p.args.Name, string(p.args.Value)
		var done keyspace.Put
		if succeeded(result, &done) {
			p.Checker.PutAcknowledged(w.now, p.space, name, value, p.args.IfRevision, p.newestBefore, done.Revision)
			p.pause()
			return
		}
		rejected := notExecuted(result) || w.Mutant == MutantAssumeRejected
		p.Checker.PutEnded(p.space, name, value, rejected)
		if rejected || attempts == 1 {
			p.pause()
			return
		}
		w.After(putRetryDelay, func() { p.send(attempts - 1) })
	})
}

// watch reads the puts of a keyspace after a revision that was given at a time; now and then
// it pauses for long before.
func (u *KeyspaceClients) watch(space string, after ident.Revision, givenAt monotime.Time) {
	w := u.world
	pause := time.Duration(100+w.Rng.IntN(400)) * time.Millisecond
	if w.Rng.IntN(12) == 0 {
		pause = time.Duration(2+w.Rng.IntN(14)) * time.Second
	}
	w.After(pause, func() {
		if w.ClientsStopped {
			return
		}
		floor, sentAt := u.Checker.KeyspaceFloor[space], w.now
		args := keyspace.Args{}
		if after > 0 {
			args.After = &after
		}
		u.request(space, keyspace.SinceKind, args, func(result *node.Result) {
			var changes keyspace.Changes
			switch {
			case failedWith(result, failure.Compacted):
				u.Checker.WatchCompacted(w.now, space, after, sentAt.Since(givenAt), w.HistoryRetention)
				after = 0
			case succeeded(result, &changes):
				if after > 0 {
					u.Checker.Watch(w.now, space, after, changes.Revision, floor, eventsOf(changes))
				}
				after, givenAt = changes.Revision, w.now
			}
			u.watch(space, after, givenAt)
		})
	})
}

// eventsOf lists the puts of a watch's response as the checker takes them.
func eventsOf(changes keyspace.Changes) []invariant.Event {
	var events []invariant.Event
	for _, put := range changes.Events {
		events = append(events, invariant.Event{Name: put.Name, Value: string(put.Value), Revision: put.Revision})
	}
	return events
}
