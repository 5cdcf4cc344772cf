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

// Rule names an invariant.
type Rule = string

// The invariants.
const (
	RuleLostWrite          Rule = "acknowledged-lost"        // a majority read would not show what was acknowledged
	RuleStaleRead          Rule = "stale-read"               // a read is older than an acknowledgement
	RuleRepeatedNumber     Rule = "number-repeated"          // a number was given twice, or is not above one acknowledged
	RuleRevisionConflict   Rule = "order"                    // one revision has two values
	RuleRejectedApplied    Rule = "turned-away-and-shown"    // what was certainly rejected took effect
	RuleBaseConflict       Rule = "two-orders-on-one-base"   // two proposals on one base were accepted
	RuleNotIdempotent      Rule = "resend-refused"           // an accepted proposal was rejected, or accepted anew, when resent
	RuleMutualExclusion    Rule = "lock-shared"              // a lock has two holders
	RuleFencingToken       Rule = "fence-not-above"          // a fencing token repeats or does not rise
	RuleIncompleteHistory  Rule = "history-forgotten"        // a history or a watch lacks what was acknowledged
	RuleMembershipConflict Rule = "two-rosters-at-one-epoch" // two memberships were chosen for one epoch
	RuleDiskError          Rule = "disk"                     // a member can't read or write its own disk
	RuleDroppedOperations  Rule = "dropped-in-stop"          // a planned stop dropped operations in flight
	RuleNotRepaired        Rule = "not-mended"               // copies differ after a read with repair
	RuleUnavailable        Rule = "stuck"                    // the cluster does not serve after all faults have ended
)

// startTime is the time of the first state, long after zero, which means never.
const startTime = monotime.Time(time.Hour)

// historyRetention is how long puts and changes must be retained.
const historyRetention = 60 * time.Second

// Cluster is one run of several cores.
type Cluster struct {
	settings          Settings
	now               monotime.Time
	members           []*member
	inTransit         map[uint64]envelope
	selfMessages      []envelope
	cuts              map[[2]int]bool
	faultsUsed        map[Fault]int
	stateMachine      proposer.StateMachine
	objects           []object
	clients           []*client
	lastTag           uint64
	repairTag         uint64 // the tag of the read with repair in flight, 0 if there is none
	diskCount         int
	chosenMemberships map[ident.MembershipEpoch]quorum.Membership
	// majorityLost says that faults together took more than a minority: what was acknowledged
	// must still be kept, but the cluster need not be able to serve again.
	majorityLost bool
	violation    *search.Violation
}

// New makes a cluster whose founders have formed the first membership.
func New(settings Settings) *Cluster {
	return assemble(settings, mutant.Handlers(string(settings.Mutant), historyRetention))
}

func assemble(settings Settings, stateMachine proposer.StateMachine) *Cluster {
	c := &Cluster{settings: settings, stateMachine: stateMachine, now: startTime, inTransit: map[uint64]envelope{}, cuts: map[[2]int]bool{}, faultsUsed: map[Fault]int{}, chosenMemberships: map[ident.MembershipEpoch]quorum.Membership{}}
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
		c.establish(m, first)
	}
	for _, m := range c.members[settings.Members:] {
		c.reload(m)
	}
	return c
}

// establish writes what a founder's disk holds once the first membership is chosen, and starts
// it.
func (c *Cluster) establish(m *member, first quorum.Membership) {
	disk := m.diskID
	_, err := m.store.open()
	c.checkWrite(m, err)
	m.membershipAcceptor.Current = first
	c.checkWrite(m, m.appendRecords([]ring.Record{{Key: diskTag, Data: []byte(disk)}, m.membershipAcceptor.Record()}))
	c.checkWrite(m, m.store.sync())
	c.start(m)
}

// violate notes the first invariant that is broken.
func (c *Cluster) violate(rule Rule, format string, args ...any) {
	if c.violation == nil {
		c.violation = &search.Violation{Rule: rule, Note: fmt.Sprintf(format, args...)}
	}
}

// Violation checks all that must hold in every state; it returns what is broken, nil if nothing
// is.
func (c *Cluster) Violation() *search.Violation {
	if c.violation == nil {
		c.inspect()
	}
	return c.violation
}

// membershipChosen notes a membership that a member learned to be chosen.
func (c *Cluster) membershipChosen(m *member, chosen quorum.Membership) {
	chosen.MajorityOverride = 0
	old, known := c.chosenMemberships[chosen.Epoch]
	if known && !slices.Equal(old.Voters, chosen.Voters) {
		c.violate(RuleMembershipConflict, "at epoch %d m%d chose%s, and before it was%s", chosen.Epoch, m.number, describeProposal(&chosen), describeProposal(&old))
	}
	c.chosenMemberships[chosen.Epoch] = chosen
}

// newestMembership is the newest chosen membership.
func (c *Cluster) newestMembership() quorum.Membership {
	return c.chosenMemberships[slices.Max(slices.Collect(maps.Keys(c.chosenMemberships)))]
}

// keys lists the control keys of all objects.
func (c *Cluster) keys() []ident.Key {
	var out []ident.Key
	for _, obj := range c.objects {
		out = append(out, obj.key())
	}
	return out
}

func sortedTags(operations map[uint64]*clientOperation) []uint64 {
	return slices.Sorted(maps.Keys(operations))
}

// passTime lets time pass in steps that a step limiter counts whole; each member ticks at the end
// of each step.
func (c *Cluster) passTime(span time.Duration) {
	for span > 0 {
		step := min(span, monotime.MaxStep)
		span -= step
		c.now = c.now.Add(step)
		for _, m := range c.members {
			c.tick(m)
		}
	}
}

// tick does the part of a node's tick that is modelled.
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
	c.deliverToSelf()
}
