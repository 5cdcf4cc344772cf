package world

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"cottonarch.example/cottonarch/base/ident"
)

type keyInput struct {
	kind  string
	value string
	base  ident.Revision
}

type keyOutput struct {
	revision ident.Revision
	value    string
	unknown  bool
	conflict bool
}

// keyModel is the sequential key, for porcupine.
var keyModel = porcupine.Model{
	Init: func() any { return keyOutput{} },
	Step: func(st, in, out any) (bool, any) {
		s, i, o := st.(keyOutput), in.(keyInput), out.(keyOutput)
		next := keyOutput{revision: s.revision + 1, value: i.value}
		switch {
		case i.kind == "read" && o.unknown:
			return true, s
		case i.kind == "read":
			return o.revision == s.revision && o.value == s.value, s
		case i.kind == "cas" && o.conflict:
			return s.revision != i.base, s
		case i.kind == "cas" && s.revision != i.base:
			return o.unknown, s
		case o.unknown:
			return true, next
		}
		return o.revision == next.revision, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// KeyUsers reads, writes and compares keys, and keeps their histories.
type KeyUsers struct {
	world        *World
	keyCount     int
	histories    map[string][]porcupine.Operation
	acknowledged map[string]ident.Revision
	valueAt      map[string]string
	writeCount   int
}

// StartKeyUsers starts n applications over a number of keys.
func (w *World) StartKeyUsers(clients, keyCount int, interval time.Duration) *KeyUsers {
	k := &KeyUsers{world: w, keyCount: keyCount, histories: map[string][]porcupine.Operation{}, acknowledged: map[string]ident.Revision{}, valueAt: map[string]string{}}
	for i := range clients {
		w.After(time.Duration(w.Rng.Int64N(int64(interval))), func() { k.round(i, interval) })
	}
	return k
}

// CheckHistories checks every key's history for linearisability.
func (u *KeyUsers) CheckHistories() {
	for i := range u.keyCount {
		name := fmt.Sprintf("k%d", i)
		u.world.Checker.Observed["stale-read"]++
		if porcupine.CheckOperationsTimeout(keyModel, u.histories[name], 2*time.Second) == porcupine.Illegal {
			u.world.Violate("stale-read", "the history of %s (%d operations) is not linearisable", name, len(u.histories[name]))
		}
	}
}
