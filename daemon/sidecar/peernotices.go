package sidecar

import (
	"context"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/configcache"
)

const (
	// RevisionNoticePath is the path for a RevisionNotice from a peer.
	RevisionNoticePath = "/cottonarch/v1/heard"

	// noticeTimeout bounds the notice to one peer.
	noticeTimeout = 250 * time.Millisecond
	// The handler of a notice waits until no fetch is in progress. The handler checks every
	// fetchWaitInterval, at most maxFetchWaits times.
	fetchWaitInterval = 10 * time.Millisecond
	maxFetchWaits     = 15
)

// RevisionNotice tells a peer that a sidecar holds a revision and is about to activate it.
type RevisionNotice struct {
	Revision ident.ConfigRevision `json:"epoch"`
	From     ident.Addr           `json:"from"`
}

// RevisionAck is the response to a RevisionNotice. Held reports whether the peer holds the revision
// too, or a newer one.
type RevisionAck struct {
	Held bool `json:"held"`
}

// notifyPeer sends a notice to one peer and records the acknowledgement.
func (s *Sidecar) notifyPeer(peer ident.Addr, revision ident.ConfigRevision) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	var ack RevisionAck
	notice := RevisionNotice{Revision: revision, From: s.Settings.Addr}
	err := s.apiClient.Call(ctx, peer, http.MethodPost, RevisionNoticePath, notice, &ack)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.cache.HandleAck(revision, err == nil && ack.Held)
	s.activatePending()
}

// ReceiveRevisionNotice handles a notice from a peer. The configuration is fetched from that peer
// unless it arrives from a core in the meantime. A revision older than any that may become active
// here is neither fetched nor acknowledged.
func (s *Sidecar) ReceiveRevisionNotice(notice RevisionNotice) RevisionAck {
	if !s.observePeerRevision(notice.Revision) {
		return RevisionAck{Held: false}
	}
	if s.holdsRevision(notice.Revision) {
		return RevisionAck{Held: true}
	}
	s.sleep(configcache.PeerFetchDelay)
	for range maxFetchWaits {
		if s.holdsRevision(notice.Revision) || s.config.fetching.Load() == 0 {
			break
		}
		s.sleep(fetchWaitInterval)
	}
	if !s.holdsRevision(notice.Revision) && s.config.fetching.Load() == 0 {
		s.fetchConfigOrCount(notice.From)
	}
	return RevisionAck{Held: s.holdsRevision(notice.Revision)}
}

// observePeerRevision records that a peer holds a revision, and reports whether the revision may
// become active here.
func (s *Sidecar) observePeerRevision(revision ident.ConfigRevision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.planner.MinRevision {
		return false
	}
	s.config.cache.ObservePeer(s.clock(), revision)
	return true
}

// holdsRevision reports whether the revision or a newer one is held here.
func (s *Sidecar) holdsRevision(revision ident.ConfigRevision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.cache.NewestHeld(s.planner.Revision()) >= revision
}
