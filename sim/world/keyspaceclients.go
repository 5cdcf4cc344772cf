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
	// clientBudget is the time that a core has for an operation of an application, and
	// clientTimeout is the time after which the application turns to another core.
	clientBudget  = 900 * time.Millisecond
	clientTimeout = time.Second
	// putAttempts is how many times a put is sent while its outcome is unknown, and putRetryDelay
	// is the delay before each retry.
	putAttempts   = 4
	putRetryDelay = 50 * time.Millisecond
)

// KeyspaceClients are clients that put, read and watch the entries of a few keyspaces. They
// behave like applications that turn to another core after a timeout and retry operations with an
// unknown outcome.
type KeyspaceClients struct {
	world         *World
	keyspaceCount int
	entryCount    int
	interval      time.Duration
	valueCount    int
	Checker       *invariant.KeyspaceChecker
}

// StartKeyspaceClients starts clients that put and read about once per interval, and one watch per
// keyspace.
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

// operateLater schedules the next operation of a client.
func (u *KeyspaceClients) operateLater() { u.world.After(u.world.jittered(u.interval), u.operate) }

// request sends an operation on a keyspace.
func (u *KeyspaceClients) request(space, kind string, args keyspace.Args, end func(*node.Result)) {
	op := proposer.Operation{Key: keyspace.ControlKey(space), Kind: kind, Args: operation.Encode(args)}
	u.world.requestWithin(op, clientBudget, clientTimeout, end)
}

// operate reads a random entry, or puts the entry with or without a condition on its revision.
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

// read reads an entry. floor is the newest acknowledged revision of the entry.
func (u *KeyspaceClients) read(space, name string, floor ident.Revision) {
	u.request(space, keyspace.ReadKind, keyspace.Args{Name: name}, func(result *node.Result) {
		var entry keyspace.Put
		switch {
		case failedWith(result, failure.NotFound):
			u.Checker.Read(u.world.now, space, name, "", floor, 0)
		case succeeded(result, &entry):
			u.Checker.Read(u.world.now, space, name, string(entry.Value), floor, entry.Revision)
		}
		u.operateLater()
	})
}

// entryPut is a put of a new value, which is sent up to putAttempts times until its outcome is
// known.
type entryPut struct {
	*KeyspaceClients
	space        string
	args         keyspace.Args
	newestBefore ident.Revision // newest acknowledged revision of the keyspace when the put was first sent
}

// newPut returns a put of a value that was never put before. If base is not nil, the put is
// conditional on that revision.
func (u *KeyspaceClients) newPut(space, name string, base *ident.Revision) *entryPut {
	value := operation.Encode(fmt.Sprintf("v%d", u.valueCount))
	return &entryPut{u, space, keyspace.Args{Name: name, Value: value, IfRevision: base}, u.Checker.KeyspaceFloor[space]}
}

// send sends the put and checks the response. With an unknown outcome the put is sent again, until
// no attempts are left.
func (p *entryPut) send(attempts int) {
	p.request(p.space, keyspace.PutKind, p.args, func(result *node.Result) {
		w, name, value := p.world, p.args.Name, string(p.args.Value)
		var done keyspace.Put
		if succeeded(result, &done) {
			p.Checker.PutAcknowledged(w.now, p.space, name, value, p.args.IfRevision, p.newestBefore, done.Revision)
			p.operateLater()
			return
		}
		rejected := notExecuted(result) || w.Mutant == MutantAssumeRejected
		p.Checker.PutEnded(p.space, name, value, rejected)
		if rejected || attempts == 1 {
			p.operateLater()
			return
		}
		w.After(putRetryDelay, func() { p.send(attempts - 1) })
	})
}

// watch reads the puts of a keyspace after a revision, over and over. givenAt is when the client
// received that revision. The delay before a read is sometimes several seconds.
func (u *KeyspaceClients) watch(space string, after ident.Revision, givenAt monotime.Time) {
	w := u.world
	delay := time.Duration(100+w.Rng.IntN(400)) * time.Millisecond
	if w.Rng.IntN(12) == 0 {
		delay = time.Duration(2+w.Rng.IntN(14)) * time.Second
	}
	w.After(delay, func() {
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

// eventsOf converts the puts of a watch response to the events of the checker.
func eventsOf(changes keyspace.Changes) []invariant.Event {
	var events []invariant.Event
	for _, put := range changes.Events {
		events = append(events, invariant.Event{Name: put.Name, Value: string(put.Value), Revision: put.Revision})
	}
	return events
}
