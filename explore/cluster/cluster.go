package cluster

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/sim/broken"
	"cottonarch.example/cottonarch/storage/ring"
)

// Rule names an invariant.
type Rule = string

// The invariants.
const (
	RuleLost     Rule = "acknowledged-lost"     // a majority read would not show what was acknowledged
	RuleStale    Rule = "stale-read"            // a read is older than an acknowledgement
	RuleRepeated Rule = "number-repeated"       // a number was given twice, or is not above one acknowledged
	RuleOrder    Rule = "order"                 // one revision has two values
	RuleTurned   Rule = "turned-away-and-shown" // what was surely refused took effect
	RuleBase     Rule = "two-orders-on-one-base"
	RuleResend   Rule = "resend-refused"
	RuleLock     Rule = "lock-shared"
	RuleFence    Rule = "fence-not-above"
	RuleHistory  Rule = "history-forgotten"
	RuleRoster   Rule = "two-rosters-at-one-epoch"
	RuleDisk     Rule = "disk"
	RuleStop     Rule = "dropped-in-stop"
	RuleMended   Rule = "not-mended"
	RuleStuck    Rule = "stuck"
)

// began is the moment of the first state: long after zero, which means never.
const began = monotime.Time(time.Hour)

// history is how long puts and changes must stay known.
const history = 60 * time.Second

// Cluster is one run.
type Cluster struct {
	set     Settings
	now     monotime.Time
	members []*member
	net     map[uint64]envelope
	local   []envelope
	cuts    map[[2]int]bool
	used    map[Fault]int
	machine proposer.StateMachine
	objects []object
	clients []*client
	tags    uint64
	mending uint64 // the tag of the read that mends, until it is answered
	disks   int
	chosen  map[ident.Epoch]quorum.Membership
	// harsh says that faults together took more than a minority: what was acknowledged must
	// still be kept, but the cluster need not be able to serve again.
	harsh bool
	found *search.Breach
}

// New makes a cluster whose founders have formed the first roster.
func New(set Settings) *Cluster { return assemble(set, broken.Book(string(set.Break), history)) }

func assemble(set Settings, machine proposer.StateMachine) *Cluster {
	c := &Cluster{set: set, machine: machine, now: began, net: map[uint64]envelope{}, cuts: map[[2]int]bool{}, used: map[Fault]int{}, chosen: map[ident.Epoch]quorum.Membership{}}
	for i, kind := range set.Keys {
		c.objects = append(c.objects, makers[kind](i))
	}
	for i := range set.Clients {
		c.clients = append(c.clients, &client{number: i + 1})
	}
	first := quorum.Membership{Epoch: 1}
	for i := range set.Members + set.Spares {
		m := &member{number: i + 1, store: c.blank(), acc: acceptor.New("")}
		c.members = append(c.members, m)
		if i < set.Members {
			c.name(m)
			first.Voters = append(first.Voters, quorum.Voter{Disk: m.disk, Addr: m.addr(), Counted: true})
		}
	}
	c.chosen[1] = first
	for _, m := range c.members[:set.Members] {
		c.establish(m, first)
	}
	for _, m := range c.members[set.Members:] {
		c.recall(m)
	}
	return c
}

// establish writes what a founder's disk holds once the first roster is chosen, and starts it.
func (c *Cluster) establish(m *member, first quorum.Membership) {
	disk := m.disk
	_, err := m.store.open()
	c.must(m, err)
	m.acc.Current = first
	c.must(m, m.append([]ring.Record{{Tag: diskTag, Data: []byte(disk)}, m.acc.Record()}))
	c.must(m, m.store.sync())
	c.start(m)
}

// breach notes the first invariant that is broken.
func (c *Cluster) breach(rule Rule, form string, args ...any) {
	if c.found == nil {
		c.found = &search.Breach{Rule: rule, Note: fmt.Sprintf(form, args...)}
	}
}

// Breach looks at all that must hold in every state.
func (c *Cluster) Breach() *search.Breach {
	if c.found == nil {
		c.inspect()
	}
	return c.found
}

// decided notes a roster that a member says was chosen.
func (c *Cluster) decided(m *member, r quorum.Membership) {
	r.Need = 0
	old, known := c.chosen[r.Epoch]
	if known && !slices.Equal(old.Voters, r.Voters) {
		c.breach(RuleRoster, "at epoch %d m%d chose%s, and before it was%s", r.Epoch, m.number, proposal(&r), proposal(&old))
	}
	c.chosen[r.Epoch] = r
}

// newest is the newest chosen roster.
func (c *Cluster) newest() quorum.Membership {
	return c.chosen[slices.Max(slices.Collect(maps.Keys(c.chosen)))]
}

func (c *Cluster) keys() []ident.Key {
	var out []ident.Key
	for _, o := range c.objects {
		out = append(out, o.key())
	}
	return out
}

func sortedTags(all map[uint64]*order) []uint64 { return slices.Sorted(maps.Keys(all)) }

// pass lets time go by in steps that a watch counts whole; each member's tick runs at the
// end of each step.
func (c *Cluster) pass(span time.Duration) {
	for span > 0 {
		step := min(span, monotime.StepMost)
		span -= step
		c.now = c.now.Add(step)
		for _, m := range c.members {
			c.tick(m)
		}
	}
}

// tick is what a node's tick does of what is modelled.
func (c *Cluster) tick(m *member) {
	if !m.up {
		return
	}
	now := c.clock(m)
	c.owned(m, m.own.Tick(now))
	c.rosterSends(m, m.make.Tick(now))
	if m.copy != nil {
		c.scans(m, m.copy.Tick(now))
	}
	c.flush()
}
