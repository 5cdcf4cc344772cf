package cluster

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
	"cottonarch.example/cottonarch/sim/mutant"
	"cottonarch.example/cottonarch/storage/ring"
)

// Rule names an invariant that a violation breaks.
type Rule = string

// The rules. Each comment describes a violation of the rule.
const (
	RuleLostWrite          Rule = "acknowledged-lost"        // a majority read does not return an acknowledged write
	RuleStaleRead          Rule = "stale-read"               // a read returns a revision older than a revision acknowledged before the read
	RuleRepeatedNumber     Rule = "number-repeated"          // a number was issued twice, or does not exceed an acknowledged number
	RuleRevisionConflict   Rule = "order"                    // one revision has two values, or one value two revisions
	RuleRejectedApplied    Rule = "turned-away-and-shown"    // an operation reported as rejected took effect
	RuleBaseConflict       Rule = "two-orders-on-one-base"   // two proposals on the same base were accepted
	RuleNotIdempotent      Rule = "resend-refused"           // a resent proposal that had been accepted was rejected or accepted again
	RuleMutualExclusion    Rule = "lock-shared"              // two clients hold a lock
	RuleFencingToken       Rule = "fence-not-above"          // a fencing token repeats or does not increase
	RuleIncompleteHistory  Rule = "history-forgotten"        // a history or a watch lacks an acknowledged change
	RuleMembershipConflict Rule = "two-rosters-at-one-epoch" // two memberships were chosen for one epoch
	RuleDiskError          Rule = "disk"                     // a member cannot read or write its own disk
	RuleDroppedOperations  Rule = "dropped-in-stop"          // a planned stop dropped operations in flight
	RuleNotRepaired        Rule = "not-mended"               // copies differ after a read with repair
	RuleUnavailable        Rule = "stuck"                    // the cluster does not serve after all faults have ended
)

// startTime is the time of the initial state, long after the zero time, because the zero time means
// never.
const startTime = monotime.Time(time.Hour)

// historyRetention is how long the state machines must retain puts and changes.
const historyRetention = 60 * time.Second

// Cluster is one simulated run of several cores and their clients. Cluster implements search.System.
type Cluster struct {
	settings          Settings
	now               monotime.Time
	members           []*member
	inTransit         map[uint64]envelope
	selfMessages      []envelope
	cutLinks          map[[2]int]bool
	faultsUsed        map[Fault]int
	stateMachine      proposer.StateMachine
	objects           []object
	clients           []*client
	lastTicket        uint64
	repairTicket      uint64 // ticket of the read with repair in flight, 0 if none is in flight
	diskCount         int
	chosenMemberships map[ident.MembershipEpoch]quorum.Membership
	// majorityLost reports that simultaneous faults may have taken a majority. Acknowledged writes
	// must still survive, but the cluster need not become available again.
	majorityLost bool
	violation    *search.Violation
}

// New returns a cluster whose founders have formed the first membership.
func New(settings Settings) *Cluster {
	return newCluster(settings, mutant.Handlers(string(settings.Mutant), historyRetention))
}

func newCluster(settings Settings, stateMachine proposer.StateMachine) *Cluster {
	c := &Cluster{settings: settings, stateMachine: stateMachine, now: startTime, inTransit: map[uint64]envelope{}, cutLinks: map[[2]int]bool{}, faultsUsed: map[Fault]int{}, chosenMemberships: map[ident.MembershipEpoch]quorum.Membership{}}
	for i, kind := range settings.Keys {
		c.objects = append(c.objects, objectFactories[kind](i))
	}
	for i := range settings.Clients {
		c.clients = append(c.clients, &client{number: i + 1})
	}
	first := quorum.Membership{Epoch: 1}
	for i := range settings.Members + settings.Spares {
		m := &member{number: i + 1, store: c.newDisk(), membershipAcceptor: acceptor.New("")}
		c.members = append(c.members, m)
		if i < settings.Members {
			c.assignDisk(m)
			first.Voters = append(first.Voters, quorum.Voter{Disk: m.diskID, Addr: m.addr(), Counted: true})
		}
	}
	c.chosenMemberships[1] = first
	for _, m := range c.members[:settings.Members] {
		c.startFounder(m, first)
	}
	for _, m := range c.members[settings.Members:] {
		c.reloadDisk(m)
	}
	return c
}

// startFounder writes to a founder's disk the records that the disk holds once the first membership
// is chosen, and starts the founder.
func (c *Cluster) startFounder(m *member, first quorum.Membership) {
	disk := m.diskID
	_, err := m.store.open()
	c.checkWrite(m, err)
	m.membershipAcceptor.Current = first
	c.checkWrite(m, m.appendRecords([]ring.Record{{Key: diskIDKey, Data: []byte(disk)}, m.membershipAcceptor.Record()}))
	c.checkWrite(m, m.store.sync())
	c.start(m)
}

// recordViolation records a violation, unless one was recorded before.
func (c *Cluster) recordViolation(rule Rule, format string, args ...any) {
	if c.violation == nil {
		c.violation = &search.Violation{Rule: rule, Note: fmt.Sprintf(format, args...)}
	}
}

// Violation checks the invariants that must hold in every state and returns the first violation of
// the run, or nil if every invariant held.
func (c *Cluster) Violation() *search.Violation {
	if c.violation == nil {
		c.checkMajorityReads()
	}
	return c.violation
}

// recordChosenMembership records a membership that a member has learned to be chosen.
func (c *Cluster) recordChosenMembership(m *member, chosen quorum.Membership) {
	chosen.MajorityOverride = 0
	previous, known := c.chosenMemberships[chosen.Epoch]
	if known && !slices.Equal(previous.Voters, chosen.Voters) {
		c.recordViolation(RuleMembershipConflict, "at epoch %d m%d learned%s as chosen, but earlier the chosen membership was%s", chosen.Epoch, m.number, describeMembership(&chosen), describeMembership(&previous))
	}
	c.chosenMemberships[chosen.Epoch] = chosen
}

// newestMembership returns the chosen membership with the highest epoch.
func (c *Cluster) newestMembership() quorum.Membership {
	return c.chosenMemberships[slices.Max(slices.Collect(maps.Keys(c.chosenMemberships)))]
}

// keys returns the control keys of all objects.
func (c *Cluster) keys() []ident.Key {
	var out []ident.Key
	for _, obj := range c.objects {
		out = append(out, obj.key())
	}
	return out
}

func sortedTickets(operations map[uint64]*clientOperation) []uint64 {
	return slices.Sorted(maps.Keys(operations))
}

// advanceTime advances the time in steps that a step limiter does not shorten. Each member ticks at
// the end of each step.
func (c *Cluster) advanceTime(span time.Duration) {
	for span > 0 {
		step := min(span, monotime.MaxStep)
		span -= step
		c.now = c.now.Add(step)
		for _, m := range c.members {
			c.tick(m)
		}
	}
}

// tick performs the modeled part of a node's tick.
func (c *Cluster) tick(m *member) {
	if !m.running {
		return
	}
	now := c.clock(m)
	c.applyEffects(m, m.proposer.Tick(now))
	c.sendMembershipRequests(m, m.reconfigurer.Tick(now))
	if m.copyReader != nil {
		c.sendScans(m, m.copyReader.Tick(now))
	}
	c.deliverSelfMessages()
}
