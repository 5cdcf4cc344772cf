package canon_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/explore/canon"
)

type inner struct {
	name  string
	count int
}

type state struct {
	table  map[string]*inner
	list   []inner
	at     monotime.Time
	note   any
	do     func()
	ratio  float64
	taken  uint64
	hidden int
}

func newState(now monotime.Time) state {
	return state{table: map[string]*inner{"a": {"a", 1}, "b": {"b", 2}, "c": nil}, list: []inner{{"x", -1}}, at: now.Add(-time.Second), note: inner{"n", 1}, ratio: 0.5}
}

func hash(now monotime.Time, s state) uint64 {
	e := canon.NewFieldFilter(canon.Skip[state]("hidden")).Encoder()
	e.Now = now
	e.Put(s)
	return e.Hash()
}

// Equal content has an equal hash in any order of a map and at any time, if the differences of times
// are equal. Skipped fields do not change the hash.
func TestEqualContentHasEqualHash(t *testing.T) {
	first := hash(3e9, newState(3e9))
	for range 100 {
		other := newState(5e9)
		other.hidden = 7
		must.Eq(t, first, hash(5e9, other))
	}
}

// A difference in any single part of the content changes the hash.
func TestDifferentContentHasDifferentHash(t *testing.T) {
	changes := map[string]func(*state){
		"value in a map":  func(s *state) { s.table["a"] = &inner{"a", 2} },
		"nil for a value": func(s *state) { s.table["a"] = nil },
		"additional key":  func(s *state) { s.table["d"] = nil },
		"list":            func(s *state) { s.list = append(s.list, inner{}) },
		"zero time":       func(s *state) { s.at = 0 },
		"time":            func(s *state) { s.at++ },
		"type":            func(s *state) { s.note = &inner{"n", 1} },
		"function":        func(s *state) { s.do = func() {} },
		"ratio":           func(s *state) { s.ratio = 0.25 },
		"number":          func(s *state) { s.taken = 1 },
	}
	first := hash(3e9, newState(3e9))
	for name, change := range changes {
		s := newState(3e9)
		change(&s)
		must.NotEq(t, first, hash(3e9, s), must.Sprint(name))
	}
}

// Skip panics on a field that the type does not have. Otherwise a renamed field would no longer be
// skipped, unnoticed.
func TestSkipPanicsOnUnknownField(t *testing.T) {
	defer func() { must.NotNil(t, recover()) }()
	canon.Skip[state]("renamed")
}
