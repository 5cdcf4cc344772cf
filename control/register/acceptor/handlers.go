package acceptor

import (
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// handler serves one kind of request on an item: whether it is granted, and the records that have
// to be synced before the response is sent.
type handler func(*item, quorum.Request) (bool, []ring.Record)

// prepare promises to accept nothing below the request's ballot.
func prepare(it *item, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Promised == request.Ballot {
		return true, nil
	}
	it.Promised = request.Ballot
	return true, []ring.Record{promiseRecord(it)}
}

// accept takes a whole value, unless a higher ballot was promised.
func accept(it *item, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Accepted == request.Ballot && it.Revision >= request.Revision {
		return true, nil // a repeat, or late within the same term
	}
	it.Promised, it.Accepted, it.Revision, it.Value = request.Ballot, request.Ballot, request.Revision, request.Value
	return true, []ring.Record{acceptedRecord(it)}
}

// acceptPatch is accept for a value that is sent as a patch. It changes nothing, and is not OK,
// unless this disk holds the patch's base; the proposer then sends the whole value.
func acceptPatch(it *item, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Accepted == request.Ballot && it.Revision >= request.Revision {
		return true, nil
	}
	value, ok := request.Patch.Apply(it.Record, request.Ballot)
	if !ok {
		return false, nil
	}
	request.Value = value
	return accept(it, request)
}

// confirm tells whether no later term was promised here.
func confirm(it *item, request quorum.Request) (bool, []ring.Record) {
	return !request.Ballot.Less(it.Promised), nil
}
