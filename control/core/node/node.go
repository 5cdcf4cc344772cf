// Package node joins the parts of one core into one step function, which the daemon
// and the simulator drive alike.
package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/audit/chunk"
	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/coordination/key"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/number"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/control/register/place"
	"cottonarch.example/cottonarch/control/register/replica"
	"cottonarch.example/cottonarch/control/register/survey"
	"cottonarch.example/cottonarch/control/rollout/drive"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/control/roster/acceptor"
	"cottonarch.example/cottonarch/control/roster/former"
	"cottonarch.example/cottonarch/control/roster/maker"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/mesh/claim/ledger"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	helloEvery = 150 * time.Millisecond
	// alive is how long a core counts as live after its last hello.
	alive = 1200 * time.Millisecond
	// deadAfter is how long a voter must be unheard before its slot may be taken.
	deadAfter  = 3 * time.Second
	growAfter  = 6 * time.Second
	diskTag    = "disk"
	sweepEvery = 5 * time.Second
	dutyTTL    = 3000
	dutyEvery  = time.Second
	seenMax    = 1 << 12
)

// Boot is what a core must know.
type Boot struct {
	Addr     ident.Addr
	District ident.District
	Seeds    []ident.Addr
	Founders []ident.Addr
	Voters   int
	Mark     string
	NewDisk  func() ident.Disk
	Machine  owner.Machine
	Need     int // see cell.Roster
	// Full, when set, tells that the disk has little room left.
	Full func() bool
}

// peer is another core as last heard. Invariant: down is only a hint that it takes no
// connection; it moves keys and forwards, never a slot of the roster.
type peer struct {
	hello message.Hello
	heard moment.Moment
	down  bool
}

func (p *peer) live(now moment.Moment) bool { return !p.down && now.Since(p.heard) <= alive }

// Effects is what a step wants done. Invariant: what Gate takes out leaves only
// after the Records of this and all earlier steps are synced; the rest rests on no
// disk of this core's and may go at once.
type Effects struct {
	Records []ring.Record
	Sends   []Send
	Ends    []End
	Learned []message.Learned
	Changed bool // the ledger has news
	// Confirmed is a manifest, as held, that was just learned to be confirmed.
	Confirmed json.RawMessage
	Exit      *defect.Defect
}

// Gate splits off the records and the messages that rest on this disk.
func (fx *Effects) Gate() Effects {
	out := Effects{Records: fx.Records}
	var rest []Send
	for _, s := range fx.Sends {
		if s.Msg.Return != nil || s.Msg.RosterSays != nil || s.Msg.ScanReturn != nil {
			out.Sends = append(out.Sends, s)
			continue
		}
		rest = append(rest, s)
	}
	fx.Records, fx.Sends = nil, rest
	return out
}

// Send is a message to one core.
type Send struct {
	To  ident.Addr
	Msg message.Message
}

// End is the end of a local request.
type End struct {
	Ticket   uint64
	Body     json.RawMessage
	Defect   *defect.Defect
	Revision ident.Revision
	Found    map[ident.Key]survey.Found
}

// pending is one deed that this core has to answer. Invariants: at most one copy is
// out at a time, but for copies sent to processes that were then given up, which
// are counted in open; risk is set once any copy may have taken effect.
type pending struct {
	ticket uint64
	deed   owner.Deed
	until  moment.Moment
	pause  moment.Moment
	out    uint64 // the forward ticket or local tag, 0 when none
	sent   moment.Moment
	at     ident.Addr
	mark   string
	open   int
	risk   bool
	done   func(moment.Moment, End, *Effects)
}

type guest struct {
	from   ident.Addr
	mark   string
	ticket uint64
	name   string
}

// replayMax is the largest return that is kept for a repeat.
const replayMax = 4 << 10

// harmless lists the deeds that change nothing, so that running them twice is harmless.
var harmless = map[string]bool{"lock/read": true, "number/read": true, "key/read": true, "share/read": true, "manifest/read": true, "manifest/epoch": true, "rollout/read": true, "manifest/lines": true, owner.Mend: true}

type reading struct {
	ticket uint64
	all    bool
	*survey.Survey
	until moment.Moment
	done  func(moment.Moment, *survey.Survey, *Effects)
}

// Node is one core.
type Node struct {
	boot   Boot
	Disk   ident.Disk
	began  moment.Moment
	acc    *acceptor.Acceptor
	rep    *replica.Replica
	own    *owner.Owner
	make   *maker.Maker
	form   *former.Former
	Ledger *ledger.Ledger
	peers  map[ident.Addr]*peer
	known  map[ident.Addr]moment.Moment // told of by others, and when last
	pend   map[uint64]*pending          // by out
	wait   []*pending                   // no copy out
	guests map[uint64]guest
	// seen holds the changes that came from other cores, with their ends once there
	// are any. Invariant: a doubled or repeated message is one message.
	seen     map[string]*message.Carried
	seenList []string
	reads    map[uint64]*reading
	count    uint64
	said     moment.Moment
	leaving  bool
	broken   bool
	copying  bool
	copied   ident.Epoch
	swept    moment.Moment
	dutied   moment.Moment
	fence    uint64
	holds    bool
	rolls    *drive.Drive
	rolled   moment.Moment
	audited  ident.Epoch // the newest epoch in the audit log, as this duty knows
	auditAt  moment.Moment
	Sweeps   uint64
	Mended   uint64
	Epoch    ident.Epoch // newest manifest epoch learned
	in       []func(*Node, moment.Moment, message.Message, *Effects) bool
}

// Kinds is the book of every deed that the control state knows.
func Kinds() book.Book {
	all := book.Book{}
	for _, b := range []book.Book{lock.Deeds(), number.Deeds(), key.Deeds(), share.Deeds(), offer.Deeds(), rollout.Deeds(), chunk.Deeds()} {
		for kind, h := range b {
			all[kind] = h
		}
	}
	return all
}

// New builds a node from what its disk holds; the records it returns must be synced
// before anything else.
func New(now moment.Moment, boot Boot, recs []ring.Record) (*Node, []ring.Record, error) {
	if boot.Machine == nil {
		boot.Machine = Kinds()
	}
	if boot.Voters == 0 {
		boot.Voters = 5
	}
	n := &Node{boot: boot, began: now, peers: map[ident.Addr]*peer{}, known: map[ident.Addr]moment.Moment{}, pend: map[uint64]*pending{}, guests: map[uint64]guest{},
		seen: map[string]*message.Carried{}, reads: map[uint64]*reading{}, Ledger: ledger.New()}
	var write []ring.Record
	for _, rec := range recs {
		if rec.Tag == diskTag {
			n.Disk = ident.Disk(rec.Data)
		}
	}
	if n.Disk == "" {
		n.Disk = boot.NewDisk()
		write = append(write, ring.Record{Tag: diskTag, Data: []byte(n.Disk)})
	}
	n.rep, n.acc = replica.New(n.Disk), acceptor.New(n.Disk)
	for _, rec := range recs {
		if len(rec.Data) == 0 || rec.Tag == diskTag {
			continue
		}
		if rec.Tag == acceptor.Tag {
			if err := n.acc.Load(rec.Data); err != nil {
				return nil, nil, err
			}
			continue
		}
		if _, err := n.rep.Load(rec); err != nil {
			return nil, nil, err
		}
	}
	n.acc.Now.Need = boot.Need
	n.begin(now)
	return n, write, nil
}

func (n *Node) begin(now moment.Moment) {
	n.own = owner.New(string(n.Disk)+"."+n.boot.Mark, n.boot.Machine)
	n.make = maker.New(n.Disk, n.boot.Mark)
	n.form = former.New(n.Disk, n.boot.Addr, n.boot.Founders)
	n.own.Rostered(now, n.acc.Now)
	n.in = inbox
	n.rolls = drive.New()
}

// Roster is the roster in force here.
func (n *Node) Roster() cell.Roster { return n.acc.Now }

// Votes tells whether this disk's returns count.
func (n *Node) Votes() bool { return !n.broken && n.acc.Now.Counts(n.Disk) }

// Cells counts what the disk holds.
func (n *Node) Cells() int { return n.rep.Len() }

// Owned lists the keys held now.
func (n *Node) Owned() []ident.Key { return n.own.Keys() }

// Owner gives the owner's counters.
func (n *Node) Owner() *owner.Owner { return n.own }

// Duty tells whether this core holds the sweeping duty.
func (n *Node) Duty() bool { return n.holds }

// Break says whether the disk is out of use; it tells whether that is news.
func (n *Node) Break(out bool) bool {
	news := n.broken != out
	n.broken = out
	return news
}

// Cores lists the addresses of the cores known.
func (n *Node) Cores() []ident.Addr {
	out := []ident.Addr{n.boot.Addr}
	add := func(a ident.Addr) {
		if a != "" && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	for _, v := range n.acc.Now.Voters {
		add(v.Addr)
	}
	for _, a := range n.boot.Seeds {
		add(a)
	}
	for _, a := range n.boot.Founders {
		add(a)
	}
	for _, a := range slices.Sorted(maps.Keys(n.known)) {
		add(a)
	}
	for _, a := range n.peerAddrs() {
		add(a)
	}
	return out
}

// Know takes addresses of cores that others told of; they are forgotten when nobody
// tells of them any more.
func (n *Node) Know(now moment.Moment, cores []ident.Addr) {
	for _, a := range cores {
		if len(n.known) < 64 {
			n.known[a] = now
		}
	}
}

// Fresh lists the cores that this one stands for: itself, the voters, and whom it
// hears.
func (n *Node) Fresh(now moment.Moment) []ident.Addr {
	out := []ident.Addr{n.boot.Addr}
	for _, v := range n.acc.Now.Voters {
		if !slices.Contains(out, v.Addr) {
			out = append(out, v.Addr)
		}
	}
	for _, a := range n.peerAddrs() {
		if now.Since(n.peers[a].heard) <= 5*time.Second && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// live lists the disks of counted voters that are heard and stay, this one included.
func (n *Node) live(now moment.Moment) (disks []ident.Disk, at map[ident.Disk]ident.Addr) {
	at = map[ident.Disk]ident.Addr{}
	for _, v := range n.acc.Now.Voters {
		if !v.Counted {
			continue
		}
		if v.Disk == n.Disk {
			if !n.leaving && !n.broken {
				disks, at[v.Disk] = append(disks, v.Disk), n.boot.Addr
			}
			continue
		}
		for _, addr := range n.peerAddrs() {
			p := n.peers[addr]
			if p.hello.Disk == v.Disk && !p.hello.Leaving && !p.hello.Broken && p.live(now) {
				disks, at[v.Disk] = append(disks, v.Disk), addr
			}
		}
	}
	return
}

func (n *Node) peerAddrs() []ident.Addr {
	out := make([]ident.Addr, 0, len(n.peers))
	for a := range n.peers {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// heard lists the disks heard within span, this one included.
func (n *Node) heard(now moment.Moment, span time.Duration) []ident.Disk {
	out := []ident.Disk{n.Disk}
	for _, a := range n.peerAddrs() {
		if p := n.peers[a]; now.Since(p.heard) <= span {
			out = append(out, p.hello.Disk)
		}
	}
	return out
}

func (n *Node) next() uint64 { n.count++; return n.count }

// Majority tells whether enough voters are heard to serve.
func (n *Node) Majority(now moment.Moment) bool {
	got := 0
	near := []ident.Disk{n.Disk}
	for _, p := range n.peers {
		if p.live(now) {
			near = append(near, p.hello.Disk)
		}
	}
	for _, v := range n.acc.Now.Voters {
		if v.Counted && slices.Contains(near, v.Disk) && (v.Disk != n.Disk || !n.broken) {
			got++
		}
	}
	return n.acc.Now.Epoch > 0 && got >= n.acc.Now.Majority()
}

// Deed takes a local request; its End carries the ticket.
func (n *Node) Deed(now moment.Moment, ticket uint64, d owner.Deed, budget time.Duration) (fx Effects) {
	n.begindeed(now, &pending{ticket: ticket, deed: d, until: now.Add(budget)}, &fx)
	return fx
}

func (n *Node) begindeed(now moment.Moment, p *pending, fx *Effects) {
	if p.deed.Op == "" {
		p.deed.Op = ident.Op(fmt.Sprintf("%s.%s.%d", n.Disk, n.boot.Mark, n.next()))
	}
	if grows[p.deed.Kind] && n.boot.Full != nil && n.boot.Full() {
		n.finish(now, p, End{Defect: defect.New(defect.Full, "the disk has no room for more control state")}, fx)
		return
	}
	if len(n.pend)+len(n.wait) >= pendMax {
		n.finish(now, p, End{Defect: defect.New(defect.Busy, "too many deeds are in hand").Later(1)}, fx)
		return
	}
	n.steer(now, p, fx)
}

// pendMax bounds the deeds in hand at one core.
const pendMax = 20000

// grows lists the deeds that may need more room on the disks.
var grows = map[string]bool{"key/write": true, "manifest/offer": true, "lock/claim": true, "number/next": true, "rollout/begin": true}

// steer sends the one copy of a pending deed to the key's owner.
func (n *Node) steer(now moment.Moment, p *pending, fx *Effects) {
	disks, at := n.live(now)
	first, _ := place.Owner(p.deed.Key, disks)
	if first == "" || p.pause.After(now) || !n.Majority(now) {
		n.wait = append(n.wait, p)
		return
	}
	p.out = n.next()
	n.pend[p.out] = p
	if first == n.Disk {
		p.at, p.mark = n.boot.Addr, n.boot.Mark
		d := p.deed
		d.Tag = p.out
		n.owned(now, n.own.Submit(now, d), fx)
		return
	}
	p.at = at[first]
	p.mark = n.peers[p.at].hello.Mark
	n.forward(now, p, fx)
}

// forward sends the copy that is out, or sends it again: the receiver, which is one
// process named by its mark, takes repeats of one ticket as one.
func (n *Node) forward(now moment.Moment, p *pending, fx *Effects) {
	p.sent = now
	fx.Sends = append(fx.Sends, Send{p.at, message.Message{To: p.mark, Forward: &message.Forward{Ticket: p.out, Deed: p.deed}}})
}

func (n *Node) finish(now moment.Moment, p *pending, e End, fx *Effects) {
	e.Ticket = p.ticket
	if e.Defect != nil && (p.risk || p.open > 0) && e.Defect.Fate == defect.FateNo {
		// Another copy may still take effect: a no would not be sure.
		d := *e.Defect
		d.Fate = defect.FateUnknown
		e.Defect = &d
	}
	if p.done != nil {
		p.done(now, e, fx)
		return
	}
	fx.Ends = append(fx.Ends, e)
}

// ended takes the end of the copy that is out.
func (n *Node) ended(now moment.Moment, p *pending, c message.Carried, fx *Effects) {
	delete(n.pend, p.out)
	p.out = 0
	if !c.Lost {
		n.finish(now, p, End{Body: c.Body, Defect: c.Defect, Revision: c.Revision}, fx)
		return
	}
	p.risk = p.risk || c.Risk
	p.pause = now.Add(40 * time.Millisecond)
	n.wait = append(n.wait, p)
}

// owned carries out what the owner wants.
func (n *Node) owned(now moment.Moment, o owner.Effects, fx *Effects) {
	for _, s := range o.Sends {
		ask := s.Ask
		n.send(s.To, message.Message{Ask: &ask}, fx)
	}
	for _, out := range o.Outcomes {
		c := message.Carried{Body: out.Body, Defect: out.Defect, Revision: out.Revision, Lost: out.Lost, Risk: out.Risk}
		if out.Changed && !out.Lost {
			l := message.Learned{Key: out.Deed.Key, Revision: out.Revision, Ballot: out.Ballot}
			n.learn(l, fx)
			for _, a := range n.peerAddrs() {
				fx.Sends = append(fx.Sends, Send{a, message.Message{Learned: &l}})
			}
		}
		if g, ok := n.guests[out.Deed.Tag]; ok {
			delete(n.guests, out.Deed.Tag)
			c.Ticket = g.ticket
			if _, kept := n.seen[g.name]; kept {
				n.seen[g.name] = &c
				if len(c.Body) > replayMax {
					// The book of the key remembers it; this end only says so.
					n.seen[g.name] = &message.Carried{Ticket: g.ticket, Lost: true, Risk: true}
				}
			}
			fx.Sends = append(fx.Sends, Send{g.from, message.Message{To: g.mark, Carried: &c}})
			continue
		}
		if p, ok := n.pend[out.Deed.Tag]; ok {
			n.ended(now, p, c, fx)
		}
	}
}

func (n *Node) learn(l message.Learned, fx *Effects) {
	fx.Learned = append(fx.Learned, l)
	if l.Key == offer.Key {
		n.Epoch = max(n.Epoch, ident.Epoch(l.Revision))
		// The value itself lies here already when this disk took part in the round.
		if c := n.rep.Peek(l.Key); !l.Ballot.Zero() && c.Accepted == l.Ballot && c.Revision == l.Revision {
			fx.Confirmed = book.State(c.Value)
		}
	}
}

// send reaches a voter, at the address it was last heard from.
func (n *Node) send(v cell.Voter, m message.Message, fx *Effects) {
	if v.Disk == n.Disk {
		fx.Sends = append(fx.Sends, Send{n.boot.Addr, m})
		return
	}
	to := v.Addr
	for _, a := range n.peerAddrs() {
		if n.peers[a].hello.Disk == v.Disk {
			to = a
		}
	}
	fx.Sends = append(fx.Sends, Send{to, m})
}

// Survey reads all cells below a prefix from a majority.
func (n *Node) Survey(now moment.Moment, ticket uint64, prefix string, values bool, budget time.Duration) (fx Effects) {
	n.survey(now, &reading{ticket: ticket, until: now.Add(budget)}, prefix, values, "", &fx)
	return fx
}

func (n *Node) survey(now moment.Moment, r *reading, prefix string, values bool, skip ident.Disk, fx *Effects) {
	turn := n.next()
	r.Survey = survey.Begin(turn, n.acc.Now, prefix, values, skip)
	r.Survey.All = r.all
	n.reads[turn] = r
	n.scan(r.Tick(now), fx)
}

func (n *Node) scan(sends []survey.Send, fx *Effects) {
	for _, s := range sends {
		scan := s.Scan
		n.send(s.To, message.Message{Scan: &scan}, fx)
	}
}

// Step takes one message.
func (n *Node) Step(now moment.Moment, m message.Message) (fx Effects) {
	if m.To != "" && m.To != n.boot.Mark {
		return fx
	}
	for _, take := range n.in {
		if take(n, now, m, &fx) {
			break
		}
	}
	return fx
}

// inbox is the table of what to do with each part of a message.
var inbox []func(*Node, moment.Moment, message.Message, *Effects) bool

func init() {
	inbox = []func(*Node, moment.Moment, message.Message, *Effects) bool{
		(*Node).onHello, (*Node).onAsk, (*Node).onReturn, (*Node).onForward, (*Node).onCarried, (*Node).onScan,
		(*Node).onScanReturn, (*Node).onLearned, (*Node).onRosterAsk, (*Node).onRosterSays, (*Node).onHandover,
	}
}

func (n *Node) onHello(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Hello == nil {
		return false
	}
	p := n.peers[m.From]
	if p == nil {
		p = &peer{}
		n.peers[m.From] = p
	}
	if p.hello.Mark != m.Hello.Mark {
		n.gone(now, m.From, p.hello.Mark)
	}
	// One disk is at one address: an older address of the same disk is stale.
	for _, a := range n.peerAddrs() {
		if a != m.From && n.peers[a].hello.Disk == m.Hello.Disk {
			delete(n.peers, a)
		}
	}
	p.hello, p.heard, p.down = *m.Hello, now, false
	n.Know(now, m.Hello.Cores)
	if m.Hello.Roster != nil {
		n.adopt(now, *m.Hello.Roster, fx)
	}
	if m.Hello.Manifest > n.Epoch {
		n.learn(message.Learned{Key: offer.Key, Revision: ident.Revision(m.Hello.Manifest)}, fx)
	}
	return true
}

// Down takes a hint that the process at an address is gone: it takes no connection.
// A hint only: its keys are taken by others, which is safe if it lives after all; the
// next hello brings it back.
func (n *Node) Down(now moment.Moment, addr ident.Addr) (fx Effects) {
	p := n.peers[addr]
	if p == nil || p.down {
		return fx
	}
	p.down = true
	n.gone(now, addr, p.hello.Mark)
	n.pendings(now, &fx)
	return fx
}

// gone gives up the copies that are out at a process that is no more.
func (n *Node) gone(now moment.Moment, addr ident.Addr, mark string) {
	for _, out := range n.outs() {
		p := n.pend[out]
		if p.at == addr && p.mark == mark {
			delete(n.pend, out)
			p.out, p.risk = 0, true
			n.wait = append(n.wait, p)
		}
	}
}

func (n *Node) outs() []uint64 {
	out := make([]uint64, 0, len(n.pend))
	for k := range n.pend {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (n *Node) adopt(now moment.Moment, r cell.Roster, fx *Effects) {
	_, was := n.acc.Now.Find(n.Disk)
	r.Need = n.boot.Need
	recs, newer := n.acc.Adopt(r)
	if !newer {
		return
	}
	fx.Records = append(fx.Records, recs...)
	n.make.Adopted(r)
	n.copying = false
	for _, turn := range n.turns() {
		rd := n.reads[turn]
		delete(n.reads, turn)
		if rd.done == nil && rd.until.After(now) {
			n.survey(now, &reading{ticket: rd.ticket, until: rd.until}, rd.Prefix, rd.Values, rd.Skip, fx)
		}
	}
	n.owned(now, n.own.Rostered(now, r), fx)
	if _, is := r.Find(n.Disk); was && !is {
		n.wipe(now, fx)
	}
}

func (n *Node) turns() []uint64 {
	out := make([]uint64, 0, len(n.reads))
	for t := range n.reads {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

// wipe makes this a new disk: its slot was taken while it was away.
func (n *Node) wipe(now moment.Moment, fx *Effects) {
	now2 := n.acc.Now
	for _, tag := range n.rep.Tags() {
		fx.Records = append(fx.Records, ring.Record{Tag: tag})
	}
	n.Disk = n.boot.NewDisk()
	n.rep, n.acc = replica.New(n.Disk), acceptor.New(n.Disk)
	n.acc.Now = now2
	fx.Records = append(fx.Records, ring.Record{Tag: diskTag, Data: []byte(n.Disk)}, n.acc.Record())
	n.make = maker.New(n.Disk, n.boot.Mark)
	n.form = former.New(n.Disk, n.boot.Addr, nil)
	n.own = owner.New(string(n.Disk)+"."+n.boot.Mark, n.boot.Machine)
	n.own.Rostered(now, now2)
	n.copied = 0
}

func (n *Node) onAsk(_ moment.Moment, m message.Message, fx *Effects) bool {
	if m.Ask == nil {
		return false
	}
	if n.broken {
		return true
	}
	if _, in := n.acc.Now.Find(n.Disk); !in {
		return true
	}
	r, recs, say := n.rep.Step(n.acc.Now.Epoch, *m.Ask)
	fx.Records = append(fx.Records, recs...)
	if say {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{Return: &r}})
	}
	return true
}

func (n *Node) onReturn(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Return == nil {
		return false
	}
	n.owned(now, n.own.Step(now, *m.Return), fx)
	return true
}

func (n *Node) onForward(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Forward == nil {
		return false
	}
	name := fmt.Sprintf("%s/%d/%s", m.From, m.Forward.Ticket, m.Forward.Deed.Op)
	mark := ""
	if p := n.peers[m.From]; p != nil {
		mark = p.hello.Mark
	}
	if c, again := n.seen[name]; again {
		if c != nil {
			fx.Sends = append(fx.Sends, Send{m.From, message.Message{To: mark, Carried: c}})
		}
		return true
	}
	if n.leaving || n.broken || !n.acc.Now.Counts(n.Disk) {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{To: mark, Carried: &message.Carried{Ticket: m.Forward.Ticket, Lost: true}}})
		return true
	}
	if !harmless[m.Forward.Deed.Kind] {
		n.seen[name] = nil
		n.seenList = append(n.seenList, name)
		if len(n.seenList) > seenMax {
			delete(n.seen, n.seenList[0])
			n.seenList = n.seenList[1:]
		}
	}
	d := m.Forward.Deed
	d.Tag = n.next()
	n.guests[d.Tag] = guest{m.From, mark, m.Forward.Ticket, name}
	n.owned(now, n.own.Submit(now, d), fx)
	return true
}

func (n *Node) onCarried(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Carried == nil {
		return false
	}
	if p, ok := n.pend[m.Carried.Ticket]; ok && p.at == m.From {
		n.ended(now, p, *m.Carried, fx)
	}
	return true
}

func (n *Node) onScan(_ moment.Moment, m message.Message, fx *Effects) bool {
	if m.Scan == nil {
		return false
	}
	if n.broken || !n.acc.Now.Counts(n.Disk) {
		return true
	}
	if r, ok := n.rep.Scan(n.acc.Now.Epoch, *m.Scan); ok {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{ScanReturn: &r}})
	}
	return true
}

func (n *Node) onScanReturn(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.ScanReturn == nil {
		return false
	}
	rd := n.reads[m.ScanReturn.Turn]
	if rd == nil {
		return true
	}
	sends, done := rd.Step(now, *m.ScanReturn)
	n.scan(sends, fx)
	if !done {
		return true
	}
	delete(n.reads, rd.Turn)
	if rd.done != nil {
		rd.done(now, rd.Survey, fx)
		return true
	}
	fx.Ends = append(fx.Ends, End{Ticket: rd.ticket, Found: rd.Found()})
	return true
}

func (n *Node) onLearned(_ moment.Moment, m message.Message, fx *Effects) bool {
	if m.Learned == nil {
		return false
	}
	n.learn(*m.Learned, fx)
	return true
}

func (n *Node) onRosterAsk(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.RosterAsk == nil {
		return false
	}
	if n.broken {
		return true
	}
	r, recs, say := n.acc.Step(*m.RosterAsk, n.heard(now, deadAfter))
	fx.Records = append(fx.Records, recs...)
	if say {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{RosterSays: &r}})
	}
	return true
}

func (n *Node) onRosterSays(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.RosterSays == nil {
		return false
	}
	if m.RosterSays.Kind == acceptor.Form {
		if next := n.form.Step(*m.RosterSays); next != nil && n.acc.Now.Epoch == 0 {
			n.adopt(now, *next, fx)
			n.said = 0
		}
		return true
	}
	sends, next := n.make.Step(now, *m.RosterSays)
	n.rosterSends(sends, fx)
	if next != nil {
		n.adopt(now, *next, fx)
		n.said = 0
	}
	return true
}

func (n *Node) rosterSends(sends []maker.Send, fx *Effects) {
	for _, s := range sends {
		ask := s.Ask
		n.send(s.To, message.Message{RosterAsk: &ask}, fx)
	}
}

func (n *Node) onHandover(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Handover == nil {
		return false
	}
	if !n.leaving && !n.broken && n.acc.Now.Counts(n.Disk) {
		for _, k := range m.Handover.Keys {
			n.owned(now, n.own.Take(now, k), fx)
		}
	}
	return true
}

// Amnesia makes the replica forget everything, which no real disk may; the
// simulator uses it to see its checkers catch that.
func (n *Node) Amnesia() { n.rep = replica.New(n.Disk) }

// Copies gives what this disk holds of every key, without values.
func (n *Node) Copies() map[ident.Key]cell.Cell { return n.rep.Copies() }
