package cluster

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
)

// Describe describes a choice before it is applied.
func (c *Cluster) Describe(choice search.Choice) string {
	if describeChoice, ok := descriptions[choice.Kind]; ok {
		return describeChoice(c, choice)
	}
	return string(choice.Kind)
}

func describeTransit(c *Cluster, choice search.Choice) string {
	e := c.inTransit[choice.Message]
	return fmt.Sprintf("m%d -> m%d: %s", e.from, e.to, describeMessage(e.msg))
}

// descriptions describe each kind of choice.
var descriptions = map[search.Kind]func(*Cluster, search.Choice) string{
	requestKind: func(c *Cluster, choice search.Choice) string {
		return fmt.Sprintf("client %d asks m%d: %s of %s", choice.Client, choice.Member, choice.Operation, c.objects[choice.Key].key())
	},
	search.Kind(Resend): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("client %d resends its last proposal to m%d", choice.Client, choice.Member)
	},
	deliverKind: func(c *Cluster, choice search.Choice) string { return "deliver " + describeTransit(c, choice) },
	search.Kind(DelayedSync): func(c *Cluster, choice search.Choice) string {
		return "deliver, not synced and not answered yet, " + describeTransit(c, choice)
	},
	search.Kind(MessageDuplication): func(c *Cluster, choice search.Choice) string {
		return "deliver, with a copy still in transit, " + describeTransit(c, choice)
	},
	search.Kind(MessageLoss): func(c *Cluster, choice search.Choice) string { return "lose " + describeTransit(c, choice) },
	syncKind: func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d syncs its disk and sends its responses", choice.Member)
	},
	startKind: func(_ *Cluster, choice search.Choice) string { return fmt.Sprintf("m%d starts", choice.Member) },
	joinKind: func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d takes the next step towards being counted", choice.Member)
	},
	announceKind: func(c *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d tells m%d of membership %d", choice.Member, choice.Other, c.members[choice.Member-1].membershipAcceptor.Current.Epoch)
	},
	stopKind: func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d has left and ends", choice.Member)
	},
	search.Kind(Crash):     func(_ *Cluster, choice search.Choice) string { return fmt.Sprintf("m%d is killed", choice.Member) },
	search.Kind(PowerLoss): func(c *Cluster, choice search.Choice) string { return c.describePowerLoss(choice) },
	search.Kind(DiskLoss):  func(_ *Cluster, choice search.Choice) string { return fmt.Sprintf("m%d loses its disk", choice.Member) },
	search.Kind(PlannedStop): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d begins a planned stop", choice.Member)
	},
	search.Kind(PresumedDead): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("the others no longer hear m%d", choice.Member)
	},
	search.Kind(ClockJump): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d's clock jumps forward by an hour", choice.Member)
	},
	search.Kind(AcceptorStateLoss): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d's acceptor forgets all", choice.Member)
	},
	search.Kind(LinkCut): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("cut m%d from m%d", choice.Member, choice.Other)
	},
	search.Kind(OneWayLinkCut): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("cut m%d -> m%d", choice.Member, choice.Other)
	},
	search.Kind(TimeAdvance): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("%v pass", choice.Span.Round(time.Millisecond))
	},
}

// describePowerLoss lists the unsynced writes that a loss of power leaves, counted from 1.
func (c *Cluster) describePowerLoss(choice search.Choice) string {
	n := c.members[choice.Member-1].store.unsynced()
	out := fmt.Sprintf("m%d loses power; of %d unsynced writes it keeps", choice.Member, n)
	survivors := ""
	for i := range n {
		if keepsWrite(choice.Mask, i) {
			survivors += fmt.Sprintf(" %d", i+1)
		}
	}
	if survivors == "" {
		survivors = " none"
	}
	return out + survivors
}

// keepsWrite tells whether the bit of a write is set; all writes from the 64th on share one.
func keepsWrite(mask uint64, write int) bool { return mask>>min(write, 63)&1 == 1 }

// describeMessage describes a message for a trace.
func describeMessage(msg message.Message) string {
	switch {
	case msg.Request != nil:
		a := msg.Request
		return fmt.Sprintf("%s of %s, round %d, ballot %d.%s, revision %d, membership %d", a.Kind, a.Key, a.Round, a.Ballot.Epoch, a.Ballot.Proposer, a.Revision, a.Membership)
	case msg.Response != nil:
		r := msg.Response
		return fmt.Sprintf("response of %s to %s of %s, round %d, ok %v, promised %d.%s, accepted %d.%s revision %d", r.Disk, r.Kind, r.Key, r.Round, r.OK,
			r.Record.Promised.Epoch, r.Record.Promised.Proposer, r.Record.Accepted.Epoch, r.Record.Accepted.Proposer, r.Record.Revision)
	case msg.MembershipRequest != nil:
		a := msg.MembershipRequest
		return fmt.Sprintf("membership %s, round %d, base %d, ballot %d.%s%s", a.Kind, a.Round, a.Base, a.Ballot.Epoch, a.Ballot.Proposer, describeProposal(a.Next))
	case msg.MembershipResponse != nil:
		r := msg.MembershipResponse
		return fmt.Sprintf("response of %s to membership %s, round %d, base %d, ok %v%s", r.Disk, r.Kind, r.Round, r.Base, r.OK, describeProposal(r.Next))
	case msg.Scan != nil:
		return fmt.Sprintf("scan, round %d, membership %d", msg.Scan.Round, msg.Scan.Membership)
	case msg.ScanResponse != nil:
		return fmt.Sprintf("page of %s, round %d, %d records", msg.ScanResponse.Disk, msg.ScanResponse.Round, len(msg.ScanResponse.Rows))
	}
	return "message"
}

// describeProposal lists the voters of a membership, if one is given.
func describeProposal(r *quorum.Membership) string {
	if r == nil {
		return ""
	}
	out := fmt.Sprintf(", membership %d of", r.Epoch)
	for _, v := range r.Voters {
		out += " " + string(v.Disk)
		if !v.Counted {
			out += " (not counted)"
		}
	}
	return out
}

// describeRecord describes the version of a record.
func describeRecord(record quorum.Record) string {
	return fmt.Sprintf("ballot %d.%s revision %d", record.Accepted.Epoch, record.Accepted.Proposer, record.Revision)
}
