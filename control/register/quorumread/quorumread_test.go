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

// Four disks with a few hundred keys, some of which differ: a quorum read that compares digests
// first finds the same lagging copies as one without digests, and reads few rows; it waits for a
// disk that is slow to respond, and not for one that is silent.
func TestDigestsFindWhatDiffers(t *testing.T) {
	voters := []ident.Disk{"a", "b", "c", "d"}
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		membership := quorum.Membership{Epoch: 4}
		disks := map[ident.Disk]*acceptor.Acceptor{}
		for _, d := range voters {
			disks[d] = acceptor.New(d)
			membership.Voters = append(membership.Voters, quorum.Voter{Disk: d, Addr: ident.Addr(d), Counted: true})
		}
		for k := range 300 {
			key := ident.Key(fmt.Sprintf("key/%d", k))
			for _, d := range voters {
				record := quorum.Record{Accepted: ident.Ballot{Epoch: 1, Proposer: "o"}, Revision: 3, Value: []byte(`"v"`)}
				if rng.IntN(300) == 0 {
					record.Revision = ident.Revision(1 + rng.IntN(3))
				}
				if rng.IntN(300) != 0 {
					disks[d].Merge(quorum.Row{Key: key, Record: record})
				}
			}
		}
		silent, slow := ident.Disk(""), ident.Disk("")
		switch seed % 3 {
		case 1:
			silent = "c"
		case 2:
			slow = "b"
		}
		run := func(buckets int) (lagging map[ident.Key]int, rows int) {
			reader := quorumread.New(1, membership, "", false, "")
			reader.WaitForAll, reader.Buckets = true, buckets
			type late struct {
				at monotime.Time
				r  quorum.ScanResponse
			}
			var inFlight []late
			done := false
			send := func(now monotime.Time, list []quorumread.Send) {
				for _, out := range list {
					r, ok := disks[out.To.Disk].Scan(4, out.Scan)
					must.True(t, ok)
					if out.To.Disk == silent {
						continue
					}
					wait := 5 * time.Millisecond
					if out.To.Disk == slow {
						wait = 250 * time.Millisecond
					}
					inFlight = append(inFlight, late{now.Add(wait), r})
				}
			}
			for now := monotime.Time(time.Second); now < monotime.Time(2*time.Second) && !done; now = now.Add(5 * time.Millisecond) {
				send(now, reader.Tick(now))
				list := inFlight
				inFlight = nil
				for _, page := range list {
					if page.at > now {
						inFlight = append(inFlight, page)
						continue
					}
					rows += len(page.r.Rows)
					out, complete := reader.Step(now, page.r)
					done = done || complete
					send(now, out)
				}
			}
			must.Eq(t, silent == "" || reader.Done(), done)
			must.True(t, reader.HasMajority(), must.Sprintf("seed %d", seed))
			lagging = map[ident.Key]int{}
			for k, entry := range reader.Entries() {
				if n := len(reader.Lagging(entry)); n > 0 {
					lagging[k] = n
				}
			}
			return lagging, rows
		}
		plain, plainRows := run(0)
		short, shortRows := run(256)
		must.Eq(t, plain, short, must.Sprintf("seed %d", seed))
		must.Less(t, plainRows/4, shortRows, must.Sprintf("seed %d", seed))
	}
}
