package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/adapter/coordination"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

func val(i int) json.RawMessage { return json.RawMessage(fmt.Sprintf(`"v%d"`, i)) }

// Cells at three cores: a put at one is read at every other at once and wakes a watch
// there, whoever owns the group; a watch goes on at another core from where it was, over
// the loss of the proposer, and skips nothing.
func TestCellsAtEveryCore(t *testing.T) {
	c := upCores(t, 3)
	ctx, stop := context.WithTimeout(context.Background(), 2*patience)
	defer stop()
	const budget = 900 * time.Millisecond
	// A put or a read that a busy machine kept from its proposer is asked again, as callers do;
	// a put that was done keeps its revision.
	put := func(at *core.Core, name string, v json.RawMessage) (p coordination.Cell) {
		eventually(t, "a put", func() bool {
			var d *failure.Error
			p, d = coordination.Put(ctx, at, name, v, nil, budget)
			return d == nil
		})
		return p
	}
	last := ident.Revision(0)
	for i := range 12 {
		p := put(c.procs[i%3].core, "g.a", val(i))
		must.Eq(t, last+1, p.Revision)
		last = p.Revision
		for _, o := range c.procs {
			var got coordination.Cell
			eventually(t, "a read", func() bool {
				var d *failure.Error
				got, d = coordination.Read(ctx, o.core, "g.a", budget)
				return d == nil
			})
			must.Eq(t, string(val(i)), string(got.Value))
			must.Eq(t, last, got.Revision)
		}
	}
	for i := range 3 {
		told := make(chan coordination.Told, 1)
		go func() {
			var out coordination.Told
			for d := (*failure.Error)(nil); ctx.Err() == nil; {
				if out, d = coordination.Follow(ctx, c.procs[i].core, "g.", last, patience, budget); d == nil {
					break
				}
			}
			told <- out
		}()
		p := put(c.procs[(i+1)%3].core, "g.b", val(100+i))
		got := <-told
		must.Eq(t, p.Revision, got.Revision)
		must.Len(t, 1, got.Events)
		must.Eq(t, "g.b", got.Events[0].Name)
		last = p.Revision
	}
	c.lose(1)
	var p coordination.Cell
	eventually(t, "a put after the loss", func() bool {
		var d *failure.Error
		p, d = coordination.Put(ctx, c.procs[0].core, "g.a", val(200), nil, budget)
		return d == nil
	})
	must.Eq(t, last+1, p.Revision)
	var all coordination.Told
	eventually(t, "a watch after the loss", func() bool {
		var d *failure.Error
		all, d = coordination.Follow(ctx, c.procs[2].core, "g.", 3, time.Second, budget)
		return d == nil
	})
	must.Len(t, int(p.Revision)-3, all.Events)
}
