package cluster

import (
	"time"

	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
	"cottonarch.example/cottonarch/kernel/ident"
)

// Apply makes one of the choices.
func (c *Cluster) Apply(x search.Choice) {
	if f := Fault(x.Kind); c.set.allowed(f) > 0 {
		c.used[f]++
	}
	doings[x.Kind](c, x)
	c.flush()
}

func (c *Cluster) at(x search.Choice) *member { return c.members[x.Member-1] }

// take takes a message off its way.
func (c *Cluster) take(x search.Choice) envelope {
	e := c.net[x.Message]
	delete(c.net, x.Message)
	return e
}

// jump is how far a clock jumps.
const jump = time.Hour

// doings are what each kind of choice does.
var doings map[search.Kind]func(*Cluster, search.Choice)

func init() {
	doings = map[search.Kind]func(*Cluster, search.Choice){
		ask:                    func(c *Cluster, x search.Choice) { c.ask(c.at(x), x) },
		search.Kind(Again):     func(c *Cluster, x search.Choice) { c.again(c.at(x), c.clients[x.Client-1]) },
		deliver:                func(c *Cluster, x search.Choice) { c.exchange(c.take(x)) },
		search.Kind(Late):      func(c *Cluster, x search.Choice) { c.hold(c.take(x)) },
		search.Kind(Double):    func(c *Cluster, x search.Choice) { c.exchange(c.net[x.Message]) },
		search.Kind(Lost):      func(c *Cluster, x search.Choice) { c.take(x) },
		sync:                   func(c *Cluster, x search.Choice) { c.sync(c.at(x)) },
		restart:                func(c *Cluster, x search.Choice) { c.start(c.at(x)) },
		join:                   func(c *Cluster, x search.Choice) { c.join(c.at(x)) },
		tell:                   func(c *Cluster, x search.Choice) { c.adopt(c.members[x.Other-1], c.at(x).acc.Current) },
		stop:                   func(c *Cluster, x search.Choice) { c.stop(c.at(x)) },
		heal:                   func(c *Cluster, _ search.Choice) { c.heal() },
		search.Kind(Crash):     func(c *Cluster, x search.Choice) { c.crash(c.at(x)) },
		search.Kind(Power):     func(c *Cluster, x search.Choice) { c.power(c.at(x), x.Mask) },
		search.Kind(Empty):     func(c *Cluster, x search.Choice) { c.empty(c.at(x)) },
		search.Kind(Leave):     func(c *Cluster, x search.Choice) { c.leave(c.at(x)) },
		search.Kind(Silent):    func(c *Cluster, x search.Choice) { c.at(x).silent = true },
		search.Kind(Jump):      func(c *Cluster, x search.Choice) { c.at(x).skew += jump },
		search.Kind(Forget):    func(c *Cluster, x search.Choice) { c.forget(c.at(x)) },
		search.Kind(Cut):       func(c *Cluster, x search.Choice) { c.sever(x, true) },
		search.Kind(CutOneWay): func(c *Cluster, x search.Choice) { c.sever(x, false) },
		search.Kind(Wait):      func(c *Cluster, x search.Choice) { c.pass(x.Span) },
	}
}

func (c *Cluster) sever(x search.Choice, both bool) {
	c.cuts[[2]int{x.Member, x.Other}] = true
	if both {
		c.cuts[[2]int{x.Other, x.Member}] = true
	}
}

func (c *Cluster) heal() {
	clear(c.cuts)
	for _, m := range c.members {
		m.silent = false
	}
}

// crash ends the process; what it wrote stays in the page cache.
func (c *Cluster) crash(m *member) {
	c.kill(m)
	c.recall(m)
}

// power ends the process, if one runs, and takes unsynced writes.
func (c *Cluster) power(m *member, mask uint64) {
	if m.up {
		c.kill(m)
	}
	if err := m.store.lose(mask); err != nil {
		c.breach(RuleDisk, "m%d can't read its own disk: %v", m.number, err)
		return
	}
	c.recall(m)
}

// empty takes the disk away: the member comes back as a new one.
func (c *Cluster) empty(m *member) {
	c.harsh = c.harsh || c.doubly(m)
	c.kill(m)
	m.store = c.blank()
	c.recall(m)
}

// doubly tells whether another member is away while this one's disk is lost, or a change of
// the roster is under way that may have been planned when one was: together that may be
// more than a minority, and the cluster need not be able to serve again.
func (c *Cluster) doubly(m *member) bool {
	for _, other := range c.members {
		away := !other.up || other.silent || other.leaving
		if other != m && other.run > 0 && (away || !other.make.Idle()) {
			return true
		}
	}
	return false
}

func (c *Cluster) forget(m *member) { m.rep = acceptor.New(m.disk) }

// leave begins a planned stop: keys that nothing is out for are let go.
func (c *Cluster) leave(m *member) {
	m.leaving = true
	_, fx := m.own.Release()
	c.owned(m, fx)
}

// stop ends a member that leaves, once nothing is in hand.
func (c *Cluster) stop(m *member) {
	done, fx := m.own.Release()
	c.owned(m, fx)
	if (!done || len(m.orders) > 0) && c.set.Break != BreakStop {
		return
	}
	if len(m.orders) > 0 {
		c.breach(RuleStop, "m%d stopped with %d deeds in hand", m.number, len(m.orders))
	}
	c.crash(m)
}

// rosterVoters is what must be left of a roster.
type rosterVoters struct {
	counted  []ident.Disk
	majority int
}

func voters(r quorum.Membership) rosterVoters {
	out := rosterVoters{majority: majority(r)}
	for _, v := range r.Voters {
		if v.Counted {
			out.counted = append(out.counted, v.Disk)
		}
	}
	if r.Epoch == 0 {
		out.majority = 0
	}
	return out
}
