package node_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// proposeChange proposes a change to a configuration version at one of the cores, as an operator
// does. Changes are 0.3 s apart, so the holder of the singleton role reads the audit log once for
// every three or four changes.
func (cluster *jsonCluster) proposeChange(t testing.TB, kind proposal.Kind, base uint64, body string) {
	const steps = 6
	cluster.lastTicket++
	for range steps {
		cluster.step(t)
	}
	core := coreAddrs[cluster.lastTicket%3]
	args := operation.Encode(proposal.Args{Kind: kind, BaseVersion: &base, AllowUnknown: true, Body: json.RawMessage(body)})
	cluster.execute(t, core, proposer.Operation{Key: proposal.Key, Kind: "manifest/offer", Args: args, Repeatable: true})
}

// auditLog reads all entries of the audit log.
func (cluster *jsonCluster) auditLog(t testing.TB) []proposal.AuditEntry {
	cluster.lastTicket++
	cluster.apply(
		t,
		coreAddrs[0],
		cluster.nodes[coreAddrs[0]].QuorumRead(cluster.now, uint64(cluster.lastTicket), "audit/", true, time.Second),
	)
	cluster.deliverAll(t)
	end := cluster.results[uint64(cluster.lastTicket)]
	must.Nil(t, end.Failure)
	entries, complete := node.AuditEntries(end.Found)
	must.True(t, complete)
	return entries
}

// The number of bytes that the cores exchange for a configuration change and its audit entry must
// not grow with the number of earlier changes, and every change must have an audit entry.
func TestConfigChangeTrafficIsBounded(t *testing.T) {
	const routeCount, changesPerRound, maxBytes = 100, 40, 25_000
	cluster := newJSONCluster(t, time.Minute)
	var routes []string
	for i := range routeCount {
		routes = append(routes, fmt.Sprintf(
			`"r-%07x":{"host":"jepu%d.example","pathStart":"/lepu%d/ny%d/","timeoutMs":500,"aimMs":200,"service":"a"}`,
			i*7919, i%9, i, i))
	}
	cluster.proposeChange(t, proposal.FullConfig, 0, `{"release":1,"services":{"a":{}},"ways":{`+strings.Join(routes, ",")+`}}`)
	release := uint64(1)
	for _, earlierChanges := range []uint64{0, 300, 1000} {
		changeUpTo := func(upTo uint64) {
			for ; release < upTo; release++ {
				patch := fmt.Sprintf(
					`{"release":%d,"upsert":{"ways":{"r-%07x":{"host":"new%d.example","timeoutMs":500,"service":"a"}}}}`,
					release+1, release%routeCount*7919, release)
				cluster.proposeChange(t, proposal.ItemPatch, release, patch)
			}
		}
		changeUpTo(1 + earlierChanges)
		clear(cluster.bytes)
		changeUpTo(1 + earlierChanges + changesPerRound)
		total := 0
		for kind, n := range cluster.bytes {
			if kind != "heartbeat" {
				total += n
			}
		}
		t.Logf("after %d changes: %d bytes per change between three cores; %v", earlierChanges, total/changesPerRound, cluster.bytes)
		must.Less(t, maxBytes, total/changesPerRound, must.Sprint(earlierChanges))
	}
	for range 60 {
		cluster.step(t)
	}
	entries := cluster.auditLog(t)
	must.Eq(t, int(release), len(entries))
	for i, entry := range entries {
		must.Eq(t, ident.ConfigRevision(i+1), entry.Revision)
	}
}
