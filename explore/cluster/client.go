package cluster

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// KeyKind is the kind of a control key.
type KeyKind string

// The kinds of key.
const (
	ValueKey    KeyKind = "value"
	NumberKey   KeyKind = "number"
	CellKey     KeyKind = "cell"
	ManifestKey KeyKind = "manifest"
	LockKey     KeyKind = "lock"
	AuditKey    KeyKind = "audit"
)

// makers make the object of each kind, for the key of an index.
var makers = map[KeyKind]func(int) object{
	ValueKey: newValue, NumberKey: newNumber, CellKey: newCells, ManifestKey: newManifest, LockKey: newLock, AuditKey: newAudit,
}

// object is one control key with what its clients were told of it.
type object interface {
	key() ident.Key
	// menu lists what a client may ask for.
	menu(c *client) []string
	// operation makes the order's kind and arguments; it notes what the asker may count on.
	deed(o *order) (kind string, args json.RawMessage)
	// told judges the sure end of an order.
	told(c *Cluster, o *order, out proposer.Outcome)
	// turned notes that an order surely did not take effect.
	turned(o *order)
	// inspect judges what a majority read would find.
	inspect(c *Cluster, found quorum.Record)
}

// order is one operation of one client. Invariant: floor is what had been acknowledged of the
// object when it was sent.
type order struct {
	Tag     uint64
	Client  int
	Count   int
	Object  int
	Name    string
	Sent    monotime.Time
	Floor   uint64
	Kind    string
	Args    json.RawMessage
	Again   bool
	Base    uint64
	Content string
}

// client asks for one operation at a time. Invariant: last is its last order on a base release.
type client struct {
	number int
	asked  int
	open   *order
	last   *order
	bases  map[int]uint64
}

func (cl *client) base(object int) uint64 { return cl.bases[object] }

func (cl *client) know(object int, base uint64) {
	if cl.bases == nil {
		cl.bases = map[int]uint64{}
	}
	cl.bases[object] = base
}

// ask sends a client's operation to a member.
func (c *Cluster) ask(m *member, choice search.Choice) {
	cl := c.clients[choice.Client-1]
	cl.asked++
	o := &order{Client: cl.number, Count: cl.asked, Object: choice.Key, Name: choice.Deed, Sent: c.now, Base: cl.base(choice.Key)}
	o.Content = fmt.Sprintf("%d-%d", o.Client, o.Count)
	o.Kind, o.Args = c.objects[o.Object].deed(o)
	if o.Kind == orderKind && o.Name == offerRelease {
		cl.last = o
	}
	c.submit(m, cl, o)
}

// again sends a client's last order once more, as a caller that heard no answer does.
func (c *Cluster) again(m *member, cl *client) {
	o := *cl.last
	o.Again, o.Sent = true, c.now
	if m, ok := c.objects[o.Object].(*manifest); ok {
		delete(m.Turned, o.Content) // it may be taken now
	}
	c.submit(m, cl, &o)
}

func (c *Cluster) submit(m *member, cl *client, o *order) {
	c.tags++
	o.Tag = c.tags
	cl.open = o
	m.orders[o.Tag] = o
	op := ident.Op(fmt.Sprintf("op%d", o.Tag))
	d := proposer.Operation{Ticket: o.Tag, Op: op, Key: c.objects[o.Object].key(), Kind: o.Kind, Args: o.Args}
	c.owned(m, m.own.Submit(c.clock(m), d))
}

// ended takes the end of an operation.
func (c *Cluster) ended(m *member, out proposer.Outcome) {
	o := m.orders[out.Operation.Ticket]
	if o == nil {
		if out.Operation.Ticket == c.mending && !out.Abandoned {
			c.mending = 0
		}
		return
	}
	delete(m.orders, o.Tag)
	switch {
	case out.Abandoned && out.MayHaveTakenEffect && c.set.Break != BreakFate:
		c.unknown(o)
		return
	case out.Abandoned, out.Failure != nil && out.Failure.Outcome == failure.NotExecuted && out.Failure.Kind != failure.Forgotten:
		c.refused(o, out)
	case out.Failure != nil && out.Failure.Outcome != failure.NotExecuted:
		c.unknown(o)
		return
	default:
		c.objects[o.Object].told(c, o, out)
	}
	c.close(o)
}

// refused takes a sure no.
func (c *Cluster) refused(o *order, out proposer.Outcome) {
	object := c.objects[o.Object]
	if m, ok := object.(*manifest); ok && !out.Abandoned {
		m.refused(c, o, out.Failure)
	}
	if !o.Again {
		object.turned(o)
	}
}

// unknown ends an order whose fate nobody can tell.
func (c *Cluster) unknown(o *order) { c.close(o) }

func (c *Cluster) close(o *order) {
	if cl := c.clients[o.Client-1]; cl.open != nil && cl.open.Tag == o.Tag {
		cl.open = nil
	}
}
