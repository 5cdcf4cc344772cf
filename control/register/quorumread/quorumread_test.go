package quorumread_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

// diskSet holds acceptors and simulates the network to them: a silent disk never responds, a slow
// disk responds late.
type diskSet struct {
	t            *testing.T
	membership   quorum.Membership
	acceptors    map[ident.Disk]*acceptor.Acceptor
	silent, slow ident.Disk
}

// delivery is a page in flight to the reader.
type delivery struct {
	at   monotime.Time
	page quorum.ScanResponse
}

// newDiskSet returns four disks with 300 keys, some of whose copies are outdated or missing.
func newDiskSet(t *testing.T, seed uint64) *diskSet {
	rng := rand.New(rand.NewPCG(seed, 3))
	disks := []ident.Disk{"a", "b", "c", "d"}
	set := &diskSet{t: t, membership: quorum.Membership{Epoch: 4}, acceptors: map[ident.Disk]*acceptor.Acceptor{}}
	for _, disk := range disks {
		set.acceptors[disk] = acceptor.New(disk)
		set.membership.Voters = append(set.membership.Voters, quorum.Voter{Disk: disk, Addr: ident.Addr(disk), Counted: true})
	}
	for k := range 300 {
		key := ident.Key(fmt.Sprintf("key/%d", k))
		for _, disk := range disks {
			record := quorum.Record{Accepted: ident.Ballot{Epoch: 1, Proposer: "o"}, Revision: 3, Value: []byte(`"v"`)}
			if rng.IntN(300) == 0 {
				record.Revision = ident.Revision(1 + rng.IntN(3))
			}
			if rng.IntN(300) != 0 {
				set.acceptors[disk].Merge(quorum.Row{Key: key, Record: record})
			}
		}
	}
	switch seed % 3 {
	case 1:
		set.silent = "c"
	case 2:
		set.slow = "b"
	}
	return set
}

// send has the acceptors serve the scans and returns the responses with their arrival times.
func (s *diskSet) send(now monotime.Time, scans []quorumread.Send) (deliveries []delivery) {
	for _, scan := range scans {
		page, ok := s.acceptors[scan.To.Disk].Scan(s.membership.Epoch, scan.Scan)
		must.True(s.t, ok)
		if scan.To.Disk == s.silent {
			continue
		}
		wait := 5 * time.Millisecond
		if scan.To.Disk == s.slow {
			wait = 250 * time.Millisecond
		}
		deliveries = append(deliveries, delivery{now.Add(wait), page})
	}
	return deliveries
}

// read reads all keys, for at most one second, and returns the number of outdated copies of each
// key and the number of rows read.
func (s *diskSet) read(buckets int) (lagging map[ident.Key]int, rows int) {
	reader := quorumread.New(1, s.membership, "", false, "")
	reader.WaitForAll, reader.Buckets = true, buckets
	var inFlight []delivery
	done := false
	for now := monotime.Time(time.Second); now < monotime.Time(2*time.Second) && !done; now = now.Add(5 * time.Millisecond) {
		due := append(inFlight, s.send(now, reader.Tick(now))...)
		inFlight = nil
		for _, d := range due {
			if d.at > now {
				inFlight = append(inFlight, d)
				continue
			}
			rows += len(d.page.Rows)
			scans, complete := reader.Step(now, d.page)
			done = done || complete
			inFlight = append(inFlight, s.send(now, scans)...)
		}
	}
	must.Eq(s.t, s.silent == "" || reader.Done(), done)
	must.True(s.t, reader.HasMajority())
	lagging = map[ident.Key]int{}
	for key, entry := range reader.Entries() {
		if n := len(reader.Lagging(entry)); n > 0 {
			lagging[key] = n
		}
	}
	return lagging, rows
}

// A quorum read that compares digests first finds the same outdated copies on four disks as a read
// without digests, and reads fewer than a quarter of the rows. Neither misses the copies on a slow
// disk, and a silent disk does not keep them from finding the others.
func TestDigestsFindSameLaggingCopies(t *testing.T) {
	for seed := range uint64(60) {
		disks := newDiskSet(t, seed)
		plain, plainRows := disks.read(0)
		short, shortRows := disks.read(256)
		must.Eq(t, plain, short, must.Sprintf("seed %d", seed))
		must.Less(t, plainRows/4, shortRows, must.Sprintf("seed %d", seed))
	}
}
