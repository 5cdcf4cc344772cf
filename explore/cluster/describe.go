package cluster

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
)

// Describe returns the description of a choice, for a choice that is not applied yet.
func (c *Cluster) Describe(choice search.Choice) string {
	if describeChoice, ok := descriptions[choice.Kind]; ok {
		return describeChoice(c, choice)
	}
	return string(choice.Kind)
}

func describeInTransit(c *Cluster, choice search.Choice) string {
	e := c.inTransit[choice.Message]
	return fmt.Sprintf("m%d -> m%d: %s", e.from, e.to, describeMessage(e.msg))
}

// descriptions holds the function that describes each kind of choice.
var descriptions = map[search.Kind]func(*Cluster, search.Choice) string{
	requestKind: func(c *Cluster, choice search.Choice) string {
		return fmt.Sprintf("client %d asks m%d: %s of %s", choice.Client, choice.Member, choice.Operation, c.objects[choice.Key].key())
	},
	search.Kind(Resend): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("client %d resends its last proposal to m%d", choice.Client, choice.Member)
	},
	deliverKind: func(c *Cluster, choice search.Choice) string { return "deliver " + describeInTransit(c, choice) },
	search.Kind(DelayedSync): func(c *Cluster, choice search.Choice) string {
		return "deliver, with sync and response delayed, " + describeInTransit(c, choice)
	},
	search.Kind(MessageDuplication): func(c *Cluster, choice search.Choice) string {
		return "deliver, with a copy still in transit, " + describeInTransit(c, choice)
	},
	search.Kind(MessageLoss): func(c *Cluster, choice search.Choice) string { return "drop " + describeInTransit(c, choice) },
	syncKind: func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d syncs its disk and sends its responses", choice.Member)
	},
	startKind: func(_ *Cluster, choice search.Choice) string { return fmt.Sprintf("m%d starts", choice.Member) },
	joinKind: func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d takes the next step toward becoming a counted voter", choice.Member)
	},
	announceKind: func(c *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d tells m%d of membership %d", choice.Member, choice.Other, c.members[choice.Member-1].membershipAcceptor.Current.Epoch)
	},
	stopKind: func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d completes its planned stop", choice.Member)
	},
	search.Kind(Crash):     func(_ *Cluster, choice search.Choice) string { return fmt.Sprintf("m%d is killed", choice.Member) },
	search.Kind(PowerLoss): func(c *Cluster, choice search.Choice) string { return c.describePowerLoss(choice) },
	search.Kind(DiskLoss):  func(_ *Cluster, choice search.Choice) string { return fmt.Sprintf("m%d loses its disk", choice.Member) },
	search.Kind(PlannedStop): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d begins a planned stop", choice.Member)
	},
	search.Kind(PresumedDead): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("the other members presume m%d dead", choice.Member)
	},
	search.Kind(ClockJump): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d's clock jumps forward by an hour", choice.Member)
	},
	search.Kind(AcceptorStateLoss): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d's register acceptor loses its state", choice.Member)
	},
	search.Kind(LinkCut): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("cut the link between m%d and m%d", choice.Member, choice.Other)
	},
	search.Kind(OneWayLinkCut): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("cut the link m%d -> m%d", choice.Member, choice.Other)
	},
	search.Kind(TimeAdvance): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("the time advances by %v", choice.Span.Round(time.Millisecond))
	},
}

// describePowerLoss describes a power loss with the numbers of the unsynced writes that survive,
// counted from 1.
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

// keepsWrite reports whether the bit of a write is set in mask. All writes from the 64th on share
// the last bit.
func keepsWrite(mask uint64, write int) bool { return mask>>min(write, 63)&1 == 1 }

// describeMessage returns the description of a message.
func describeMessage(msg message.Message) string {
	switch {
	case msg.Request != nil:
		request := msg.Request
		return fmt.Sprintf("%s of %s, round %d, ballot %d.%s, revision %d, membership %d", request.Kind, request.Key, request.Round, request.Ballot.Epoch, request.Ballot.Proposer, request.Revision, request.Membership)
	case msg.Response != nil:
		response := msg.Response
		return fmt.Sprintf("response of %s to %s of %s, round %d, ok %v, promised %d.%s, accepted %d.%s revision %d", response.Disk, response.Kind, response.Key, response.Round, response.OK,
			response.Record.Promised.Epoch, response.Record.Promised.Proposer, response.Record.Accepted.Epoch, response.Record.Accepted.Proposer, response.Record.Revision)
	case msg.MembershipRequest != nil:
		request := msg.MembershipRequest
		return fmt.Sprintf("membership %s, round %d, base %d, ballot %d.%s%s", request.Kind, request.Round, request.Base, request.Ballot.Epoch, request.Ballot.Proposer, describeMembership(request.Next))
	case msg.MembershipResponse != nil:
		response := msg.MembershipResponse
		return fmt.Sprintf("response of %s to membership %s, round %d, base %d, ok %v%s", response.Disk, response.Kind, response.Round, response.Base, response.OK, describeMembership(response.Next))
	case msg.Scan != nil:
		return fmt.Sprintf("scan, round %d, membership %d", msg.Scan.Round, msg.Scan.Membership)
	case msg.ScanResponse != nil:
		return fmt.Sprintf("page of %s, round %d, %d records", msg.ScanResponse.Disk, msg.ScanResponse.Round, len(msg.ScanResponse.Rows))
	}
	return "message"
}

// describeMembership returns the epoch and the voters of a membership, or "" for nil.
func describeMembership(membership *quorum.Membership) string {
	if membership == nil {
		return ""
	}
	out := fmt.Sprintf(", membership %d of", membership.Epoch)
	for _, v := range membership.Voters {
		out += " " + string(v.Disk)
		if !v.Counted {
			out += " (not counted)"
		}
	}
	return out
}

// describeRecord returns the ballot and the revision of a record.
func describeRecord(record quorum.Record) string {
	return fmt.Sprintf("ballot %d.%s revision %d", record.Accepted.Epoch, record.Accepted.Proposer, record.Revision)
}
