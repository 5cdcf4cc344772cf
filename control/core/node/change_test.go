package node_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
)

// change proposes on a release at some core, as an operator does; changes are 0.3 s apart,
// so the audit log's duty looks at every third or fourth.
func (x *wired) change(t testing.TB, kind offer.Kind, base uint64, body string) {
	const steps = 6
	x.n++
	for range steps {
		x.step(t)
	}
	at := three[x.n%3]
	args := operation.Encode(offer.Args{Kind: kind, BaseRelease: &base, Loose: true, Body: json.RawMessage(body)})
	x.out(t, at, x.nodes[at].Submit(x.now, uint64(x.n), proposer.Operation{Key: offer.Key, Kind: "manifest/offer", Args: args, Repeatable: true}, time.Second))
	x.drain(t)
	must.Nil(t, x.ends[uint64(x.n)].Failure)
	delete(x.ends, uint64(x.n))
}

// log reads the whole audit log.
func (x *wired) log(t testing.TB) []offer.Line {
	x.n++
	x.out(t, three[0], x.nodes[three[0]].QuorumRead(x.now, uint64(x.n), "audit/", true, time.Second))
	x.drain(t)
	end := x.ends[uint64(x.n)]
	must.Nil(t, end.Failure)
	leaves, ok := node.Leaves(end.Found)
	must.True(t, ok)
	return leaves
}

// What a change of the manifest sends between the cores, with its line of the audit log,
// does not grow with the number of changes before it; and every change stands in the log.
func TestChangesAreFewBytes(t *testing.T) {
	const ways, each, mostBytes = 100, 40, 25_000
	x := newWired(t, time.Minute)
	var all []string
	for i := range ways {
		all = append(all, fmt.Sprintf(`"r-%07x":{"host":"jepu%d.example","pathStart":"/lepu%d/ny%d/","timeoutMs":500,"aimMs":200,"service":"a"}`, i*7919, i%9, i, i))
	}
	x.change(t, offer.Whole, 0, `{"release":1,"services":{"a":{}},"ways":{`+strings.Join(all, ",")+`}}`)
	release := uint64(1)
	for _, before := range []uint64{0, 300, 1000} {
		count := func(upTo uint64) {
			for ; release < upTo; release++ {
				x.change(t, offer.Change, release, fmt.Sprintf(`{"release":%d,"upsert":{"ways":{"r-%07x":{"host":"new%d.example","timeoutMs":500,"service":"a"}}}}`, release+1, release%ways*7919, release))
			}
		}
		count(1 + before)
		clear(x.bytes)
		count(1 + before + each)
		total := 0
		for kind, n := range x.bytes {
			if kind != "hello" {
				total += n
			}
		}
		t.Logf("after %d changes: %d bytes between three cores for each; %v", before, total/each, x.bytes)
		must.Less(t, mostBytes, total/each, must.Sprint(before))
	}
	for range 60 {
		x.step(t)
	}
	leaves := x.log(t)
	must.Eq(t, int(release), len(leaves))
	for i, l := range leaves {
		must.Eq(t, ident.Epoch(i+1), l.Epoch)
	}
}
