package coordination

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/control/coordination/group"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/wire/reply"
)

// Cell is a cell as it is told outside, under its whole key.
type Cell struct {
	Name     string          `json:"name"`
	Value    json.RawMessage `json:"value"`
	Revision ident.Revision  `json:"revision"`
}

// Told is what a watch of a group returns.
type Told struct {
	Events   []Cell         `json:"events"`
	Revision ident.Revision `json:"revision"`
}

// Put puts a cell. Defects: Conflict with the revision the cell has, Invalid, Oversize,
// Busy, and those of core.Deed.
func Put(ctx context.Context, c *core.Core, key string, value json.RawMessage, base *ident.Revision, budget time.Duration) (Cell, *failure.Error) {
	return one(ctx, c, key, "group/put", group.Args{Value: value, If: base}, budget)
}

// Read reads a cell, no older than any put that was confirmed before the call; Missing
// when it has none.
func Read(ctx context.Context, c *core.Core, key string, budget time.Duration) (Cell, *failure.Error) {
	return one(ctx, c, key, "group/read", group.Args{}, budget)
}

func one(ctx context.Context, c *core.Core, key, kind string, a group.Args, budget time.Duration) (Cell, *failure.Error) {
	g, n := group.Split(key)
	a.Name = n
	e := c.Deed(ctx, proposer.Operation{Key: group.Key(g), Kind: kind, Args: operation.Encode(a)}, budget)
	if e.Failure != nil {
		return Cell{}, e.Failure
	}
	var p group.Put
	if err := json.Unmarshal(e.Body, &p); err != nil {
		return Cell{}, failure.Unsure(failure.Damaged, "cell: %v", err)
	}
	return Cell{key, p.Value, p.Revision}, nil
}

// Follow waits for puts of a group after a revision, at most wait; after 0 asks for the
// present revision alone. Each look takes at most budget and is no older than when it
// began; what is told at the end of the wait was read within the last look's time and
// poll. Defects: Forgotten, Stopping, and those of core.Deed; none of them changed
// anything.
func Follow(ctx context.Context, c *core.Core, name string, after ident.Revision, wait, budget time.Duration) (Told, *failure.Error) {
	k := group.Key(name)
	var a group.Args
	if after > 0 {
		a.After = &after
	}
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		moved := c.Moved(k)
		e := c.Deed(ctx, proposer.Operation{Key: k, Kind: "group/since", Args: operation.Encode(a)}, budget)
		if e.Failure != nil {
			return Told{}, e.Failure
		}
		var n group.News
		if err := json.Unmarshal(e.Body, &n); err != nil {
			return Told{}, failure.New(failure.Damaged, "news: %v", err)
		}
		out := Told{Events: make([]Cell, len(n.Events)), Revision: n.Revision}
		for i, p := range n.Events {
			out.Events[i] = Cell{name + p.Name, p.Value, p.Revision}
		}
		if after == 0 || len(out.Events) > 0 {
			return out, nil
		}
		again := time.NewTimer(poll)
		select {
		case <-moved:
			again.Stop()
		case <-again.C:
		case <-over.C:
			again.Stop()
			return out, nil
		case <-c.Stopping():
			again.Stop()
			return Told{}, failure.New(failure.Stopping, "the core stops").Later(1)
		case <-ctx.Done():
			again.Stop()
			return Told{}, failure.New(failure.Late, "nobody waits any more")
		}
	}
}

// Span reads the query of a watch: the revision after which, and how long to wait.
func Span(r *http.Request) (after ident.Revision, wait time.Duration, d *failure.Error) {
	q := r.URL.Query()
	whole := func(name string, fall uint64, bits int) uint64 {
		t := q.Get(name)
		if t == "" {
			return fall
		}
		n, err := strconv.ParseUint(t, 10, bits)
		if err != nil {
			d = failure.New(failure.Malformed, "%s is no whole number", name)
		}
		return n
	}
	after = ident.Revision(whole("after", 0, 64))
	wait = min(time.Duration(whole("waitMs", 20000, 32))*time.Millisecond, watchMax)
	return
}

func (s surface) cell(w http.ResponseWriter, r *http.Request) {
	n, d := Name(r)
	if d != nil {
		reply.Defect(w, d)
		return
	}
	say(w)(Read(r.Context(), s.c, n, budget))
}

// put puts the body, any JSON, as the cell's value.
func (s surface) put(w http.ResponseWriter, r *http.Request) {
	n, d := Name(r)
	data, e := reply.Read(r, bodyMax)
	if d == nil {
		d = e
	}
	if d == nil && !json.Valid(data) {
		d = failure.New(failure.Malformed, "the body is no JSON")
	}
	at, e := base(r)
	if d == nil {
		d = e
	}
	if d != nil {
		reply.Defect(w, d)
		return
	}
	say(w)(Put(r.Context(), s.c, n, data, at, budget))
}

func (s surface) group(w http.ResponseWriter, r *http.Request) {
	n, d := Name(r)
	after, wait, e := Span(r)
	if d == nil {
		d = e
	}
	if d != nil {
		reply.Defect(w, d)
		return
	}
	out, d := Follow(r.Context(), s.c, n, after, wait, budget)
	if d != nil {
		reply.Defect(w, d)
		return
	}
	reply.JSON(w, http.StatusOK, out)
}

func say(w http.ResponseWriter) func(Cell, *failure.Error) {
	return func(c Cell, d *failure.Error) {
		if d != nil {
			reply.Defect(w, d)
			return
		}
		reply.JSON(w, http.StatusOK, c)
	}
}
