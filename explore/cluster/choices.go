package cluster

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/explore/search"
)

// The kinds of choice beside the faults, which are kinds of the same name.
const (
	ask     search.Kind = "ask"     // a client sends an operation to a member
	deliver search.Kind = "deliver" // a message arrives; what it wrote is synced and its return arrives
	sync    search.Kind = "sync"    // a member's disk syncs, its returns leave
	restart search.Kind = "restart" // a member that is down starts
	join    search.Kind = "join"    // a member takes the next step towards being counted
	tell    search.Kind = "tell"    // a member hears of another's newer roster
	stop    search.Kind = "stop"    // a member that leaves, and has nothing in hand, ends
	heal    search.Kind = "heal"    // all cuts end, and who was silent is heard
)

// Choices lists what may happen next.
func (c *Cluster) Choices() []search.Choice {
	var out []search.Choice
	add := func(list ...search.Choice) { out = append(out, list...) }
	add(c.clientChoices()...)
	add(c.messageChoices()...)
	for _, m := range c.members {
		add(c.memberChoices(m)...)
	}
	add(c.rosterChoices()...)
	add(c.linkChoices()...)
	if c.left(Wait) {
		for _, span := range c.set.Waits {
			add(search.Choice{Kind: search.Kind(Wait), Span: span})
		}
	}
	for i, x := range out {
		out[i].Fault = c.set.allowed(Fault(x.Kind)) > 0
	}
	return out
}

// left tells whether one more fault of a kind is allowed.
func (c *Cluster) left(f Fault) bool { return c.used[f] < c.set.allowed(f) }

// takers lists the members that take clients' operations.
func (c *Cluster) takers() []*member {
	var out []*member
	for _, m := range c.members[:min(c.set.Owners, len(c.members))] {
		if m.counted() && !m.leaving {
			out = append(out, m)
		}
	}
	return out
}

func (c *Cluster) clientChoices() (out []search.Choice) {
	for i, cl := range c.clients {
		if i > 0 && c.clients[i-1].asked == 0 {
			break // clients are alike until they have asked
		}
		if cl.open != nil {
			continue
		}
		for _, m := range c.takers() {
			if m.number > cl.number {
				break // so are members
			}
			if cl.asked < c.set.Deeds {
				out = append(out, c.asks(cl, m)...)
			}
			if cl.last != nil && c.left(Again) {
				out = append(out, search.Choice{Kind: search.Kind(Again), Client: cl.number, Member: m.number})
			}
		}
	}
	return out
}

func (c *Cluster) asks(cl *client, m *member) (out []search.Choice) {
	for i, o := range c.objects {
		for _, name := range o.menu(cl) {
			out = append(out, search.Choice{Kind: ask, Client: cl.number, Member: m.number, Key: i, Deed: name})
		}
	}
	return out
}

func (c *Cluster) messageChoices() (out []search.Choice) {
	for _, e := range c.waiting() {
		if !c.deliverable(e) {
			continue
		}
		one := search.Choice{Kind: deliver, Member: e.from, Other: e.to, Message: e.id}
		out = append(out, one)
		for _, f := range []Fault{Late, Double, Lost} {
			if f == Late && e.says() || !c.left(f) {
				continue
			}
			one.Kind = search.Kind(f)
			out = append(out, one)
		}
	}
	return out
}

func (c *Cluster) memberChoices(m *member) (out []search.Choice) {
	add := func(kind search.Kind) { out = append(out, search.Choice{Kind: kind, Member: m.number}) }
	if !m.up {
		add(restart)
		if c.left(Power) && m.store.unsynced() > 0 {
			out = append(out, powers(m)...)
		}
		return out
	}
	if len(m.gated) > 0 || m.store.unsynced() > 0 && c.left(Power) {
		add(sync)
	}
	if m.leaving {
		add(stop)
	}
	for _, f := range []Fault{Crash, Leave, Silent, Jump, Forget} {
		if c.left(f) && !(f == Leave && m.leaving) && !(f == Silent && m.silent) {
			add(search.Kind(f))
		}
	}
	if c.left(Empty) && c.spare(m) {
		add(search.Kind(Empty))
	}
	if c.left(Power) && m.store.unsynced() > 0 {
		out = append(out, powers(m)...)
	}
	return out
}

// powerBits is how many unsynced writes are each kept or lost on their own; those after
// them are kept or lost together.
const powerBits = 3

// powers lists each choice of the unsynced writes that a loss of power leaves.
func powers(m *member) (out []search.Choice) {
	n := m.store.unsynced()
	low := min(n, powerBits)
	for mask := range uint64(1) << low {
		out = append(out, search.Choice{Kind: search.Kind(Power), Member: m.number, Mask: mask})
		if n > low {
			out = append(out, search.Choice{Kind: search.Kind(Power), Member: m.number, Mask: mask | ^uint64(0)<<low})
		}
	}
	return out
}

// spare tells whether a member's disk may be lost: more than a minority of the disks that
// count in any roster that is chosen, or may be, never is.
func (c *Cluster) spare(m *member) bool {
	rosters := []rosterVoters{voters(c.newest())}
	for _, other := range c.members {
		rosters = append(rosters, voters(other.acc.Current))
		if next := other.acc.Next; next != nil {
			rosters = append(rosters, voters(*next))
		}
	}
	for _, r := range rosters {
		left := 0
		for _, d := range r.counted {
			if h := c.holder(d); h != nil && h != m {
				left++
			}
		}
		if left < r.majority {
			return false
		}
	}
	return true
}

func (c *Cluster) rosterChoices() (out []search.Choice) {
	for _, m := range c.members {
		if !m.up {
			continue
		}
		if v, in := m.acc.Current.Find(m.disk); (!in || !v.Counted) && m.acc.Current.Epoch > 0 && !m.leaving && m.make.Idle() {
			out = append(out, search.Choice{Kind: join, Member: m.number})
		}
		for _, other := range c.members {
			if other.up && m.acc.Current.Epoch > other.acc.Current.Epoch && !c.cut(m.number, other.number) {
				out = append(out, search.Choice{Kind: tell, Member: m.number, Other: other.number})
			}
		}
	}
	return out
}

func (c *Cluster) linkChoices() (out []search.Choice) {
	for i := 1; i <= len(c.members); i++ {
		for j := 1; j <= len(c.members); j++ {
			if i == j || c.cut(i, j) {
				continue
			}
			if i < j && c.left(Cut) {
				out = append(out, search.Choice{Kind: search.Kind(Cut), Member: i, Other: j})
			}
			if c.left(CutOneWay) {
				out = append(out, search.Choice{Kind: search.Kind(CutOneWay), Member: i, Other: j})
			}
		}
	}
	if c.hurt() {
		out = append(out, search.Choice{Kind: heal})
	}
	return out
}

// hurt tells whether anything is cut or silent.
func (c *Cluster) hurt() bool {
	for _, m := range c.members {
		if m.silent {
			return true
		}
	}
	return len(c.cuts) > 0
}

// Say tells a choice in words, before it is applied.
func (c *Cluster) Say(choice search.Choice) string {
	if words, ok := sayings[choice.Kind]; ok {
		return words(c, choice)
	}
	return string(choice.Kind)
}

func route(c *Cluster, choice search.Choice) string {
	e := c.net[choice.Message]
	return fmt.Sprintf("m%d -> m%d: %s", e.from, e.to, describe(e.msg))
}

// sayings are the words for each kind of choice.
var sayings = map[search.Kind]func(*Cluster, search.Choice) string{
	ask: func(c *Cluster, x search.Choice) string {
		return fmt.Sprintf("client %d asks m%d: %s of %s", x.Client, x.Member, x.Deed, c.objects[x.Key].key())
	},
	search.Kind(Again): func(_ *Cluster, x search.Choice) string {
		return fmt.Sprintf("client %d sends its last order again, to m%d", x.Client, x.Member)
	},
	deliver: func(c *Cluster, x search.Choice) string { return "deliver " + route(c, x) },
	search.Kind(Late): func(c *Cluster, x search.Choice) string {
		return "deliver, not synced and not answered yet, " + route(c, x)
	},
	search.Kind(Double): func(c *Cluster, x search.Choice) string {
		return "deliver, with a copy still on its way, " + route(c, x)
	},
	search.Kind(Lost): func(c *Cluster, x search.Choice) string { return "lose " + route(c, x) },
	sync: func(_ *Cluster, x search.Choice) string {
		return fmt.Sprintf("m%d syncs its disk, its returns leave", x.Member)
	},
	restart: func(_ *Cluster, x search.Choice) string { return fmt.Sprintf("m%d starts", x.Member) },
	join: func(_ *Cluster, x search.Choice) string {
		return fmt.Sprintf("m%d takes the next step towards being counted", x.Member)
	},
	tell: func(c *Cluster, x search.Choice) string {
		return fmt.Sprintf("m%d tells m%d of roster %d", x.Member, x.Other, c.members[x.Member-1].acc.Current.Epoch)
	},
	stop:                func(_ *Cluster, x search.Choice) string { return fmt.Sprintf("m%d has left and ends", x.Member) },
	search.Kind(Crash):  func(_ *Cluster, x search.Choice) string { return fmt.Sprintf("m%d is killed", x.Member) },
	search.Kind(Power):  func(c *Cluster, x search.Choice) string { return c.sayPower(x) },
	search.Kind(Empty):  func(_ *Cluster, x search.Choice) string { return fmt.Sprintf("m%d loses its disk", x.Member) },
	search.Kind(Leave):  func(_ *Cluster, x search.Choice) string { return fmt.Sprintf("m%d begins a planned stop", x.Member) },
	search.Kind(Silent): func(_ *Cluster, x search.Choice) string { return fmt.Sprintf("the others hear m%d no more", x.Member) },
	search.Kind(Jump): func(_ *Cluster, x search.Choice) string {
		return fmt.Sprintf("m%d's clock jumps forward by an hour", x.Member)
	},
	search.Kind(Forget): func(_ *Cluster, x search.Choice) string { return fmt.Sprintf("m%d's replica forgets all", x.Member) },
	search.Kind(Cut):    func(_ *Cluster, x search.Choice) string { return fmt.Sprintf("cut m%d from m%d", x.Member, x.Other) },
	search.Kind(CutOneWay): func(_ *Cluster, x search.Choice) string {
		return fmt.Sprintf("cut the way m%d -> m%d", x.Member, x.Other)
	},
	search.Kind(Wait): func(_ *Cluster, x search.Choice) string {
		return fmt.Sprintf("%v pass", x.Span.Round(time.Millisecond))
	},
}

func (c *Cluster) sayPower(x search.Choice) string {
	n := c.members[x.Member-1].store.unsynced()
	out := fmt.Sprintf("m%d loses power; of %d unsynced writes it keeps", x.Member, n)
	kept := ""
	for i := range n {
		if keeps(x.Mask, i) {
			kept += fmt.Sprintf(" %d", i+1)
		}
	}
	if kept == "" {
		kept = " none"
	}
	return out + kept
}

func keeps(mask uint64, write int) bool { return mask>>min(write, 63)&1 == 1 }
