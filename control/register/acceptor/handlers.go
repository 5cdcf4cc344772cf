package acceptor

import (
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// handler serves one kind of request on a key. It returns whether the request is granted, and the
// records that have to be synced before the response is sent.
type handler func(*keyState, quorum.Request) (bool, []ring.Record)

// prepare promises to accept nothing below the request's ballot.
func prepare(entry *keyState, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(entry.Promised) {
		return false, nil
	}
	if entry.Promised == request.Ballot {
		return true, nil
	}
	entry.Promised = request.Ballot
	return true, []ring.Record{promiseRecord(entry)}
}

// accept accepts a whole value, unless a higher ballot was promised.
func accept(entry *keyState, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(entry.Promised) {
		return false, nil
	}
	if entry.Accepted == request.Ballot && entry.Revision >= request.Revision {
		return true, nil // a repeat, or late within the same term
	}
	entry.Promised, entry.Accepted, entry.Revision, entry.Value = request.Ballot, request.Ballot, request.Revision, request.Value
	return true, []ring.Record{acceptedRecord(entry)}
}

// acceptPatch is accept for a value that is sent as a patch. It changes nothing, and is not OK,
// unless this disk holds the patch's base; the proposer then sends the whole value.
func acceptPatch(entry *keyState, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(entry.Promised) {
		return false, nil
	}
	if entry.Accepted == request.Ballot && entry.Revision >= request.Revision {
		return true, nil
	}
	value, ok := request.Patch.Apply(entry.Record, request.Ballot)
	if !ok {
		return false, nil
	}
	request.Value = value
	return accept(entry, request)
}

// confirm reports whether no later term was promised here.
func confirm(entry *keyState, request quorum.Request) (bool, []ring.Record) {
	return !request.Ballot.Less(entry.Promised), nil
}
