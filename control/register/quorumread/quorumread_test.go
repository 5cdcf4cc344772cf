package quorumread_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// Four disks with a few hundred keys, some of which differ: a quorum read that compares digests
// first finds just the lagging copies that one without them finds, and reads few rows; one
// that is slow to answer is waited for, one that is silent is not.
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
				c := quorum.Record{Accepted: ident.Ballot{Epoch: 1, Owner: "o"}, Revision: 3, Value: []byte(`"v"`)}
				if rng.IntN(300) == 0 {
					c.Revision = ident.Revision(1 + rng.IntN(3))
				}
				if rng.IntN(300) != 0 {
					disks[d].Learn(quorum.Row{Key: key, Record: c})
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
		run := func(buckets int) (lags map[ident.Key]int, rows int) {
			s := quorumread.Begin(1, membership, "", false, "")
			s.All, s.Buckets = true, buckets
			type late struct {
				at monotime.Time
				r  quorum.ScanResponse
			}
			var post []late
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
					post = append(post, late{now.Add(wait), r})
				}
			}
			for now := monotime.Time(time.Second); now < monotime.Time(2*time.Second) && !done; now = now.Add(5 * time.Millisecond) {
				send(now, s.Tick(now))
				list := post
				post = nil
				for _, l := range list {
					if l.at > now {
						post = append(post, l)
						continue
					}
					rows += len(l.r.Rows)
					out, over := s.Step(now, l.r)
					done = done || over
					send(now, out)
				}
			}
			must.Eq(t, silent == "" || s.Done(), done)
			must.True(t, s.Enough(), must.Sprintf("seed %d", seed))
			lags = map[ident.Key]int{}
			for k, f := range s.Found() {
				if n := len(s.Lagging(f)); n > 0 {
					lags[k] = n
				}
			}
			return lags, rows
		}
		plain, all := run(0)
		short, few := run(256)
		must.Eq(t, plain, short, must.Sprintf("seed %d", seed))
		must.Less(t, all/4, few, must.Sprintf("seed %d", seed))
	}
}
