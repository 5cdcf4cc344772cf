package node

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/storage/ring"
)

// Effects is the work that a step leaves to its caller. Invariant: what SplitDurable returns
// is sent only after the Records of this and all earlier steps are synced; the other messages
// depend on nothing that is written to this core's disk and may be sent at once.
type Effects struct {
	Records []ring.Record
	Sends   []Send
	Results []Result
	Learned []message.Learned
	// SidecarViewChanged reports that sidecars are to be notified: a lease changed,
	// or this core became stale or ceased to be.
	SidecarViewChanged bool
	// ConfirmedConfig is the stored form of a configuration that was just learned to be
	// confirmed; nil if there is none.
	ConfirmedConfig json.RawMessage
}

// Send is a message to one core.
type Send struct {
	To  ident.Addr
	Msg message.Message
}

// Result is the answer to a local request.
type Result struct {
	Ticket   uint64
	Body     json.RawMessage
	Failure  *failure.Error
	Revision ident.Revision
	// Ballot is the one under which Revision was confirmed; zero where that is not known.
	Ballot ident.Ballot
	// Found is what a quorum read returned.
	Found map[ident.Key]quorumread.Entry
}

// SplitDurable removes from the effects the records and the messages that may be sent only
// once these are synced, and returns them. Membership requests are among these messages: by
// asking to be counted, a new voter states that it holds its copy, which must still be true
// after a power failure.
func (fx *Effects) SplitDurable() Effects {
	durable := Effects{Records: fx.Records}
	var immediate []Send
	for _, s := range fx.Sends {
		if dependsOnDisk(s.Msg) {
			durable.Sends = append(durable.Sends, s)
			continue
		}
		immediate = append(immediate, s)
	}
	fx.Records, fx.Sends = nil, immediate
	return durable
}

// dependsOnDisk reports whether a message states something that this core's disk must hold.
func dependsOnDisk(m message.Message) bool {
	return m.Response != nil || m.ScanResponse != nil || m.MembershipRequest != nil || m.MembershipResponse != nil
}

func (fx *Effects) send(to ident.Addr, m message.Message) {
	fx.Sends = append(fx.Sends, Send{to, m})
}

// fail adds the failure of a local request.
func (fx *Effects) fail(ticket uint64, err *failure.Error) {
	fx.Results = append(fx.Results, Result{Ticket: ticket, Failure: err})
}
