package group

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// stored is the state on the disks. Invariants: List is in rising order of revision and
// holds, as [name, value, revision], each cell's newest put and every put above Gone, so
// what is current is stored once. Gone is the highest revision that was forgotten; only
// what another put of its cell has followed is forgotten, and only when this term has
// seen it grow older than the history. Between two forgettings a put changes the end of
// what is stored alone, so that it travels as a short patch; Top stands behind the list
// for that. The fields may come in any order.
type stored struct {
	Gone ident.Revision    `json:"f"`
	List []json.RawMessage `json:"l"`
	Top  ident.Revision    `json:"n"`
}

// forgetPart is the part of the list that must be over before it is let go: a forgetting
// writes the list anew, and so has to be rare, and what is over takes room.
const forgetPart = 4

// past is one put. Invariant: seen is the time at which this term first knew of it, so
// it is never younger than it looks; beaten says that another put of its cell followed.
type past struct {
	name   string
	value  json.RawMessage
	rev    ident.Revision
	raw    json.RawMessage // as stored
	seen   monotime.Time
	beaten bool
}

type id struct{ name, value string }

func newPast(name string, value json.RawMessage, rev ident.Revision, now monotime.Time) *past {
	raw := append(append(json.RawMessage{'['}, operation.Encode(name)...), ',')
	raw = append(append(raw, value...), ',')
	return &past{name: name, value: value, rev: rev, raw: append(strconv.AppendUint(raw, uint64(rev), 10), ']'), seen: now}
}

func (p *past) put() Put { return Put{p.name, p.value, p.rev} }

// decoded is the state as a term keeps it between operations. Invariants: now holds the
// newest put of each cell, known the newest put in list of each cell and value, bytes what
// the list takes when stored; it changes only together with the value that it is the decoded form of.
type decoded struct {
	top, gone ident.Revision
	list      []*past
	now       map[string]*past
	known     map[id]*past
	bytes     int
}

// begin gives the state as kept, or decodes it, and reads the args.
func begin(context proposer.Context, state, raw json.RawMessage) (*decoded, Args, *failure.Error) {
	var a Args
	g, ok := context.Decoded.(*decoded)
	if ok {
		return g, a, operation.Decode(nil, raw, nil, &a)
	}
	var s stored
	if d := operation.Decode(state, raw, &s, &a); d != nil {
		return nil, a, d
	}
	g = &decoded{top: s.Top, gone: s.Gone, now: map[string]*past{}, known: map[id]*past{}}
	for _, raw := range s.List {
		p := &past{raw: raw, seen: context.Now}
		if err := json.Unmarshal(raw, &[]any{&p.name, &p.value, &p.rev}); err != nil {
			return nil, a, failure.New(failure.Damaged, "put: %v", err)
		}
		if p.value == nil {
			p.value = json.RawMessage("null")
		}
		g.enter(p)
	}
	return g, a, nil
}

func (g *decoded) enter(p *past) {
	g.list = append(g.list, p)
	if was := g.now[p.name]; was != nil {
		was.beaten = true
	}
	g.now[p.name], g.known[id{p.name, string(p.value)}] = p, p
	g.bytes += len(p.raw) + 1
}

func (g *decoded) add(p *past) {
	g.top = p.rev
	g.enter(p)
}

// over tells whether a put may be forgotten; whether it has been yet is nobody's matter but
// that of watches, which are told more while it has not.
func (p *past) over(now monotime.Time, age time.Duration) bool {
	return p.beaten && now.Since(p.seen) > age
}

// old counts what may be forgotten, with its bytes.
func (g *decoded) old(now monotime.Time, age time.Duration) (n, bulk int) {
	for _, p := range g.list {
		if now.Since(p.seen) <= age {
			break
		}
		if p.beaten {
			n++
			bulk += len(p.raw) + 1
		}
	}
	return
}

// forget lets go of all that may be forgotten.
func (g *decoded) forget(now monotime.Time, age time.Duration) {
	g.list = slices.DeleteFunc(g.list, func(p *past) bool {
		if !p.over(now, age) {
			return false
		}
		g.gone = max(g.gone, p.rev)
		g.bytes -= len(p.raw) + 1
		if k := (id{p.name, string(p.value)}); g.known[k] == p {
			delete(g.known, k)
		}
		return true
	})
}

// after gives the puts above a revision.
func (g *decoded) after(rev ident.Revision) []*past {
	i, _ := slices.BinarySearchFunc(g.list, rev, func(p *past, rev ident.Revision) int {
		if p.rev <= rev {
			return -1
		}
		return 1
	})
	return g.list[i:]
}

func (g *decoded) encode() json.RawMessage {
	out := make(json.RawMessage, 0, g.bytes+64)
	out = strconv.AppendUint(append(out, `{"f":`...), uint64(g.gone), 10)
	out = append(out, `,"l":[`...)
	for i, p := range g.list {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, p.raw...)
	}
	out = strconv.AppendUint(append(out, `],"n":`...), uint64(g.top), 10)
	return append(out, '}')
}
