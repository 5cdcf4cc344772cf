package world

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"cottonarch.example/cottonarch/kernel/ident"
)

type keyIn struct {
	kind string
	val  string
	cas  ident.Revision
}

type keyOut struct {
	rev     ident.Revision
	val     string
	unknown bool
	no      bool
}

// model is the sequential key, for porcupine.
var model = porcupine.Model{
	Init: func() any { return keyOut{} },
	Step: func(st, in, out any) (bool, any) {
		s, i, o := st.(keyOut), in.(keyIn), out.(keyOut)
		next := keyOut{rev: s.rev + 1, val: i.val}
		switch {
		case i.kind == "read" && o.unknown:
			return true, s
		case i.kind == "read":
			return o.rev == s.rev && o.val == s.val, s
		case i.kind == "cas" && o.no:
			return s.rev != i.cas, s
		case i.kind == "cas" && s.rev != i.cas:
			return o.unknown, s
		case o.unknown:
			return true, next
		}
		return o.rev == next.rev, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// Keys reads, writes and compares keys, and keeps their histories.
type Keys struct {
	w     *World
	names int
	ops   map[string][]porcupine.Operation
	floor map[string]ident.Revision
	vals  map[string]string
	n     int
}

// KeyUsers starts n applications over a number of keys.
func (w *World) KeyUsers(n, names int, gap time.Duration) *Keys {
	k := &Keys{w: w, names: names, ops: map[string][]porcupine.Operation{}, floor: map[string]ident.Revision{}, vals: map[string]string{}}
	for i := range n {
		w.After(time.Duration(w.Rng.Int64N(int64(gap))), func() { k.round(i, gap) })
	}
	return k
}

// Judge checks every key's history for linearisability.
func (k *Keys) Judge() {
	for i := range k.names {
		name := fmt.Sprintf("k%d", i)
		k.w.Check.Seen["stale-read"]++
		if porcupine.CheckOperationsTimeout(model, k.ops[name], 2*time.Second) == porcupine.Illegal {
			k.w.Breach("stale-read", "the history of %s (%d operations) is not linearisable", name, len(k.ops[name]))
		}
	}
}
