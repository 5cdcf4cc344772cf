package acceptor

import (
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// handler serves one kind of request for a key. It returns whether the request is granted and the
// records that must be synced before the response is sent.
type handler func(*keyState, quorum.Request) (bool, []ring.Record)

// prepare promises to reject requests with a ballot below the request's ballot.
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
		return true, nil // a repeated request, or one overtaken by a newer request of the same term
	}
	entry.Promised, entry.Accepted, entry.Revision, entry.Value = request.Ballot, request.Ballot, request.Revision, request.Value
	return true, []ring.Record{acceptedRecord(entry)}
}

// acceptPatch accepts a value that is sent as a patch. If this disk does not hold the base of the
// patch, acceptPatch changes nothing and rejects the request; the proposer then sends the whole
// value.
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

// confirm grants the request if this disk has promised no higher ballot.
func confirm(entry *keyState, request quorum.Request) (bool, []ring.Record) {
	return !request.Ballot.Less(entry.Promised), nil
}
