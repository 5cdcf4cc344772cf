package node

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/storage/ring"
)

// Effects is the output of a step: the records, messages and results that the caller must process.
// Invariant: the caller sends the messages that SplitDurable returns only after the Records of this
// and all earlier steps are synced. The other messages do not depend on records on this core's disk
// and may be sent immediately.
type Effects struct {
	Records []ring.Record
	Sends   []Send
	Results []Result
	Learned []message.Learned
	// SidecarViewChanged is set if the caller must notify the sidecars, because a lease changed or
	// because this core became stale or is no longer stale.
	SidecarViewChanged bool
	// ConfirmedConfig is the stored form of a configuration that this step learned to be confirmed
	// and that this core's disk holds; nil if there is none.
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
	// Ballot is the ballot under which Revision was confirmed; zero if it is unknown.
	Ballot ident.Ballot
	// Found holds the entries that a quorum read returned.
	Found map[ident.Key]quorumread.Entry
}

// SplitDurable removes and returns the records, together with the messages that may be sent only
// after the records are synced. Membership requests are among these messages: a new voter that asks
// to be counted asserts that it holds a copy of the control state, and the assertion must remain
// true after a power failure.
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

// dependsOnDisk reports whether a message asserts state that this core's disk must hold.
func dependsOnDisk(m message.Message) bool {
	return m.Response != nil || m.ScanResponse != nil || m.MembershipRequest != nil || m.MembershipResponse != nil
}

func (fx *Effects) send(to ident.Addr, m message.Message) {
	fx.Sends = append(fx.Sends, Send{to, m})
}

// fail adds a failed result for the local request with the given ticket.
func (fx *Effects) fail(ticket uint64, err *failure.Error) {
	fx.Results = append(fx.Results, Result{Ticket: ticket, Failure: err})
}
