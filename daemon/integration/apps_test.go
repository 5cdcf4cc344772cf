package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon/api/coordination"
	"cottonarch.example/cottonarch/daemon/core"
)

func testValue(i int) json.RawMessage { return json.RawMessage(fmt.Sprintf(`"v%d"`, i)) }

// Cells at three cores: a put at one is read at every other at once and wakes a watch
// there, whoever owns the group; a watch goes on at another core from where it was, over
// the loss of the proposer, and skips nothing.
func TestKeyValuesAtEveryCore(t *testing.T) {
	c := startCores(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 2*eventualTimeout)
	defer cancel()
	const budget = 900 * time.Millisecond
	// A put or a read that a busy machine kept from its proposer is asked again, as callers do;
	// a put that was done keeps its revision.
	put := func(at *core.Core, name string, value json.RawMessage) (stored coordination.Entry) {
		eventually(t, "a put", func() bool {
			var fail *failure.Error
			stored, fail = coordination.Put(ctx, at, name, value, nil, budget)
			return fail == nil
		})
		return stored
	}
	last := ident.Revision(0)
	for i := range 12 {
		stored := put(c.processes[i%3].core, "g.a", testValue(i))
		must.Eq(t, last+1, stored.Revision)
		last = stored.Revision
		for _, peer := range c.processes {
			var got coordination.Entry
			eventually(t, "a read", func() bool {
				var fail *failure.Error
				got, fail = coordination.Get(ctx, peer.core, "g.a", budget)
				return fail == nil
			})
			must.Eq(t, string(testValue(i)), string(got.Value))
			must.Eq(t, last, got.Revision)
		}
	}
	for i := range 3 {
		followed := make(chan coordination.Changes, 1)
		go func() {
			var followResult coordination.Changes
			for fail := (*failure.Error)(nil); ctx.Err() == nil; {
				if followResult, fail = coordination.Watch(ctx, c.processes[i].core, "g.", last, eventualTimeout, budget); fail == nil {
					break
				}
			}
			followed <- followResult
		}()
		stored := put(c.processes[(i+1)%3].core, "g.b", testValue(100+i))
		got := <-followed
		must.Eq(t, stored.Revision, got.Revision)
		must.Len(t, 1, got.Events)
		must.Eq(t, "g.b", got.Events[0].Name)
		last = stored.Revision
	}
	c.powerOff(1)
	var stored coordination.Entry
	eventually(t, "a put after the loss", func() bool {
		var fail *failure.Error
		stored, fail = coordination.Put(ctx, c.processes[0].core, "g.a", testValue(200), nil, budget)
		return fail == nil
	})
	must.Eq(t, last+1, stored.Revision)
	var all coordination.Changes
	eventually(t, "a watch after the loss", func() bool {
		var fail *failure.Error
		all, fail = coordination.Watch(ctx, c.processes[2].core, "g.", 3, time.Second, budget)
		return fail == nil
	})
	must.Len(t, int(stored.Revision)-3, all.Events)
}
