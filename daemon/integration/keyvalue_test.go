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
)

// keyspaceBudget is the time budget of one operation on a keyspace.
const keyspaceBudget = 900 * time.Millisecond

func testValue(i int) json.RawMessage { return json.RawMessage(fmt.Sprintf(`"v%d"`, i)) }

// keyspaceClient uses the keyspace "g." at any core. As clients do, keyspaceClient retries a put or
// get that fails, for example because a busy machine delays the message to the proposer. A retried put
// that was already executed keeps its revision.
type keyspaceClient struct {
	*coreCluster
	ctx context.Context
}

func (k keyspaceClient) put(i int, name string, value json.RawMessage) (stored coordination.Entry) {
	eventually(k.t, "a put", func() bool {
		var fail *failure.Error
		stored, fail = coordination.Put(k.ctx, k.processes[i].core, name, value, nil, keyspaceBudget)
		return fail == nil
	})
	return stored
}

func (k keyspaceClient) get(i int, name string) (got coordination.Entry) {
	eventually(k.t, "a read", func() bool {
		var fail *failure.Error
		got, fail = coordination.Get(k.ctx, k.processes[i].core, name, keyspaceBudget)
		return fail == nil
	})
	return got
}

func (k keyspaceClient) watch(i int, after ident.Revision, wait time.Duration) (changes coordination.Changes, fail *failure.Error) {
	return coordination.Watch(k.ctx, k.processes[i].core, "g.", after, wait, keyspaceBudget)
}

// startWatch starts a watch for the changes after a revision.
func (k keyspaceClient) startWatch(i int, after ident.Revision) <-chan coordination.Changes {
	results := make(chan coordination.Changes, 1)
	go func() {
		var changes coordination.Changes
		for k.ctx.Err() == nil {
			var fail *failure.Error
			if changes, fail = k.watch(i, after, eventualTimeout); fail == nil {
				break
			}
		}
		results <- changes
	}()
	return results
}

// Guards against stale reads and skipped changes in a keyspace used through three cores. A put at one
// core must immediately be visible at every core and must wake a watch at another core, whichever core
// is the proposer of the keyspace. After a core, possibly the proposer, is powered off, a watch must
// continue at another core from a given revision without skipping a change.
func TestKeyspaceAcrossCores(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*eventualTimeout)
	defer cancel()
	k := keyspaceClient{coreCluster: startCores(t, 3), ctx: ctx}
	last := ident.Revision(0)
	for n := range 12 {
		stored := k.put(n%3, "g.a", testValue(n))
		must.Eq(t, last+1, stored.Revision)
		last = stored.Revision
		for i := range 3 {
			got := k.get(i, "g.a")
			must.Eq(t, string(testValue(n)), string(got.Value))
			must.Eq(t, last, got.Revision)
		}
	}
	for i := range 3 {
		watch := k.startWatch(i, last)
		stored := k.put((i+1)%3, "g.b", testValue(100+i))
		changes := <-watch
		must.Eq(t, stored.Revision, changes.Revision)
		must.Len(t, 1, changes.Events)
		must.Eq(t, "g.b", changes.Events[0].Name)
		last = stored.Revision
	}
	k.powerOff(1)
	stored := k.put(0, "g.a", testValue(200))
	must.Eq(t, last+1, stored.Revision)
	var changes coordination.Changes
	eventually(t, "a watch after the power-off of a core", func() bool {
		var fail *failure.Error
		changes, fail = k.watch(2, 3, time.Second)
		return fail == nil
	})
	must.Len(t, int(stored.Revision)-3, changes.Events)
}
