package world

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	// catchUpDeadline is the time within which a restarted machine must be a full voter with the
	// newest configuration. The users' platform calls this setting catchUpS.
	catchUpDeadline = 4 * time.Second
	// maxElectionTime is longer than the time from the first request of a term until the term is
	// established.
	maxElectionTime = 2500 * time.Millisecond
	// proposalRetryDelay is the delay between two attempts of a proposal.
	proposalRetryDelay = 100 * time.Millisecond
)

// coreCluster is a world of cores whose configuration is changed repeatedly.
type coreCluster struct {
	*testing.T
	world              *World
	version            uint64 // version of the newest change
	newestAcknowledged ident.ConfigRevision
	acknowledgements   []acknowledgement
	ballots            map[ident.Ballot]bool // ballots of the terms that were checked
}

// acknowledgement records the time from which a revision was the newest acknowledged revision.
type acknowledgement struct {
	at       monotime.Time
	revision ident.ConfigRevision
}

// newCoreCluster starts a cluster of cores with empty disks.
func newCoreCluster(t *testing.T, seed uint64, cores int, disk ring.Options) *coreCluster {
	cluster := &coreCluster{T: t, world: New(seed), ballots: map[ident.Ballot]bool{}}
	cluster.world.Ring, cluster.world.Platform = disk, true
	for i := range cores {
		addr := ident.Addr(fmt.Sprintf("10.0.0.%d:7000", i+1))
		cluster.world.Founders, cluster.world.Seeds = append(cluster.world.Founders, addr), append(cluster.world.Seeds, addr)
		cluster.world.NewCore(addr, ident.Zone(fmt.Sprint("d", i)))
	}
	for _, c := range cluster.world.Cores {
		c.Start()
	}
	cluster.world.RunFor(2 * time.Second)
	cluster.checkTerms()
	return cluster
}

// newestAt returns the newest revision that was acknowledged by a time.
func (cluster *coreCluster) newestAt(at monotime.Time) (newest ident.ConfigRevision) {
	for i := len(cluster.acknowledgements) - 1; i >= 0; i-- {
		if cluster.acknowledgements[i].at <= at {
			return cluster.acknowledgements[i].revision
		}
	}
	return 0
}

// checkTerms checks at each tick that no term begins with a state older than the newest revision
// that was acknowledged before the first request of the term.
func (cluster *coreCluster) checkTerms() {
	for _, c := range cluster.world.Cores {
		if !c.running {
			continue
		}
		held, ok := c.node.Proposer().Peek(proposal.Key)
		if !ok || cluster.ballots[held.Accepted] {
			continue
		}
		cluster.ballots[held.Accepted] = true
		must.GreaterEq(cluster, cluster.newestAt(cluster.world.now-monotime.Time(maxElectionTime)), ident.ConfigRevision(held.Revision), must.Sprintf("core %s began a term with an old state", c.Addr))
	}
	cluster.world.After(coreTickInterval, cluster.checkTerms)
}

// submit runs an operation at a core until the operation ends or the time budget of the operation is
// used up. submit returns nil if the operation has no result.
func (cluster *coreCluster) submit(c *Core, op proposer.Operation, budget time.Duration) (result *node.Result) {
	if !c.running {
		return nil
	}
	c.Submit(op, budget, func(r node.Result) { result = &r })
	for until := cluster.world.now.Add(budget); result == nil && c.running && cluster.world.now < until; {
		cluster.world.RunFor(time.Millisecond)
	}
	return result
}

// changeConfig proposes one change of the configuration and resends the proposal until a core
// acknowledges the proposal. The proposal must never be rejected.
func (cluster *coreCluster) changeConfig() {
	base := cluster.version
	cluster.version++
	args := proposal.Args{Kind: proposal.ItemPatch, BaseVersion: &base, AllowUnknown: true, Body: json.RawMessage(fmt.Sprintf(`{"release":%d,"upsert":{"services":{"s%d":{"n":%d}}}}`, cluster.version, cluster.version%20, cluster.version))}
	if base == 0 {
		args.Kind, args.Body = proposal.FullConfig, json.RawMessage(`{"release":1,"services":{}}`)
	}
	for attempt := range 200 {
		c := cluster.world.Cores[(int(cluster.version)+attempt)%len(cluster.world.Cores)]
		result := cluster.submit(c, proposer.Operation{Key: proposal.Key, Kind: "manifest/offer", Args: operation.Encode(args), Repeatable: true}, time.Second)
		if result != nil && result.Failure == nil {
			var accepted proposal.Accepted
			must.NoError(cluster, json.Unmarshal(result.Body, &accepted))
			must.Eq(cluster, cluster.version, accepted.Version)
			must.Greater(cluster, cluster.newestAcknowledged, accepted.Revision)
			cluster.newestAcknowledged = accepted.Revision
			cluster.acknowledgements = append(cluster.acknowledgements, acknowledgement{cluster.world.now, cluster.newestAcknowledged})
			return
		}
		if result != nil {
			failed := result.Failure
			must.True(cluster, failed.Outcome == failure.OutcomeUnknown || failed.Kind != failure.Conflict && failed.Kind != failure.Invalid, must.Sprint(failed))
		}
		cluster.world.RunFor(proposalRetryDelay)
	}
	cluster.Fatalf("change %d was never acknowledged", cluster.version)
}

// awaitCatchUp waits until a core votes, has the newest configuration and returns that
// configuration to a reader. awaitCatchUp returns the duration of the wait.
func (cluster *coreCluster) awaitCatchUp(c *Core) time.Duration {
	began, newest := cluster.world.now, cluster.newestAcknowledged
	for cluster.world.now.Since(began) <= catchUpDeadline {
		if c.Healthy() && c.configRevision() >= newest {
			var state proposal.State
			result := cluster.submit(c, proposer.Operation{Key: proposal.Key, Kind: "manifest/read"}, time.Second)
			if succeeded(result, &state) {
				must.GreaterEq(cluster, newest, state.Revision)
				return cluster.world.now.Since(began)
			}
		}
		cluster.world.RunFor(coreTickInterval)
	}
	cluster.Fatalf("core %s has revision %d instead of revision %d, %v after its start; healthy voter: %v", c.Addr, c.configRevision(), newest, catchUpDeadline, c.Healthy())
	return 0
}

// awaitReplica waits until the core's own disk holds the newest state, and returns the duration of the
// wait.
func (cluster *coreCluster) awaitReplica(c *Core) time.Duration {
	began := cluster.world.now
	for range 2000 {
		if ident.ConfigRevision(c.node.AcceptedStates()[proposal.Key].Revision) >= cluster.newestAcknowledged {
			return cluster.world.now.Since(began)
		}
		cluster.world.RunFor(coreTickInterval)
	}
	cluster.Fatalf("the disk of core %s never stored revision %d", c.Addr, cluster.newestAcknowledged)
	return 0
}

// checkAuditLog checks that the audit log holds each revision once and in order, including the
// revisions whose entry was being written when the writing core ended.
func (cluster *coreCluster) checkAuditLog() {
	cluster.world.RunFor(10 * time.Second)
	c := cluster.world.Cores[0]
	var result *node.Result
	c.quorumRead(segment.Prefix, true, time.Second, func(r node.Result) { result = &r })
	cluster.world.RunFor(time.Second)
	must.NotNil(cluster, result)
	entries, ok := node.AuditEntries(result.Found)
	must.True(cluster, ok)
	must.Eq(cluster, int(cluster.newestAcknowledged), len(entries))
	for i, entry := range entries {
		must.Eq(cluster, ident.ConfigRevision(i+1), entry.Revision)
	}
}
