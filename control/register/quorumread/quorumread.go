// Package quorumread reads the records below a prefix from a majority of disks, and finds what they
// agree on and which copies lag.
package quorumread

import (
	"bytes"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

const (
	// resendAfter is how long a scan may stay unanswered before it is sent again.
	resendAfter = 200 * time.Millisecond
	// digestWait is how long a read waits for the digests of all disks; after that, those of a
	// majority are enough.
	digestWait = 400 * time.Millisecond
)

// Entry is one key as a majority has it. Invariant: when Agreed, every response of the majority
// had the same accepted state, so that state is chosen and was the newest when the read began or
// later.
type Entry struct {
	Key    ident.Key
	Record quorum.Record
	Agreed bool
}

// diskProgress is what has been read from one disk.
type diskProgress struct {
	digest   []byte
	rows     map[ident.Key]quorum.Record
	lastKey  ident.Key
	done     bool
	lastSent monotime.Time
}

// Reader is one quorum read. Invariant: it belongs to one membership epoch; the caller
// drops it when the membership changes.
type Reader struct {
	Round      uint64
	Prefix     string
	Values     bool
	Membership quorum.Membership
	Excluded   ident.Disk
	// WaitForAll waits for every counted voter, as anti-entropy must: the copy that lags may
	// well be the slowest.
	WaitForAll bool
	// Buckets, when set, is a number of buckets of keys whose digests are compared first; only
	// buckets that differ are read. Invariant: differing is set once they are compared, and is empty when
	// all disks that responded hold the same.
	Buckets        int
	differing      []int
	compared       bool
	began          monotime.Time
	progressByDisk map[ident.Disk]*diskProgress
}

// Send is one scan to one disk.
type Send struct {
	To   quorum.Voter
	Scan quorum.Scan
}

// New starts a quorum read; excluded is a disk whose responses do not count.
func New(round uint64, membership quorum.Membership, prefix string, values bool, excluded ident.Disk) *Reader {
	return &Reader{
		Round:          round,
		Prefix:         prefix,
		Values:         values,
		Membership:     membership,
		Excluded:       excluded,
		progressByDisk: map[ident.Disk]*diskProgress{},
	}
}

// Tick returns the scans to send now: first ones, and those whose response is overdue.
func (r *Reader) Tick(now monotime.Time) []Send {
	var sends []Send
	if r.began == 0 {
		r.began = now
	}
	if r.awaitsDigests() && now.Since(r.began) >= digestWait {
		r.compareDigests(r.Membership.Majority())
	}
	for _, voter := range r.Membership.Voters {
		if !voter.Counted || voter.Disk == r.Excluded {
			continue
		}
		progress := r.progressByDisk[voter.Disk]
		if progress == nil {
			progress = &diskProgress{rows: map[ident.Key]quorum.Record{}}
			r.progressByDisk[voter.Disk] = progress
		}
		digestReceived := r.awaitsDigests() && progress.digest != nil
		responseDue := progress.lastSent == 0 || now.Since(progress.lastSent) >= resendAfter
		if progress.done || digestReceived || !responseDue {
			continue
		}
		sends = append(sends, r.scanNextPage(now, voter, progress))
	}
	return sends
}

// awaitsDigests reports whether the read compares digests first and has not done so yet.
func (r *Reader) awaitsDigests() bool { return r.Buckets > 0 && !r.compared }

// scanNextPage returns the scan for the page after the last row that was read from a disk.
func (r *Reader) scanNextPage(now monotime.Time, voter quorum.Voter, progress *diskProgress) Send {
	progress.lastSent = now
	return Send{voter, quorum.Scan{
		Round:       r.Round,
		Membership:  r.Membership.Epoch,
		Prefix:      r.Prefix,
		After:       progress.lastKey,
		Values:      r.Values,
		Buckets:     r.Buckets,
		OnlyBuckets: r.differing,
	}}
}

// compareDigests finds the buckets that differ, once the required number of digests has come.
func (r *Reader) compareDigests(required int) {
	digests, differs := 0, make([]bool, r.Buckets)
	var first []byte
	for _, voter := range r.Membership.Voters {
		progress := r.progressByDisk[voter.Disk]
		if progress == nil || len(progress.digest) != r.Buckets*quorum.DigestBytes {
			continue
		}
		digests++
		if first == nil {
			first = progress.digest
		}
		for i := range differs {
			begin, end := i*quorum.DigestBytes, (i+1)*quorum.DigestBytes
			differs[i] = differs[i] || !bytes.Equal(first[begin:end], progress.digest[begin:end])
		}
	}
	if digests < required {
		return
	}
	r.compared = true
	for i, bucketDiffers := range differs {
		if bucketDiffers {
			r.differing = append(r.differing, i)
		}
	}
	for _, progress := range r.progressByDisk {
		progress.lastSent, progress.done = 0, len(r.differing) == 0 && progress.digest != nil
	}
}

// countedVoters returns how many disks the read may count.
func (r *Reader) countedVoters() (n int) {
	for _, voter := range r.Membership.Voters {
		if voter.Counted && voter.Disk != r.Excluded {
			n++
		}
	}
	return n
}

// Step handles one page; done is true once a majority, or with WaitForAll every disk, has been
// read completely.
func (r *Reader) Step(now monotime.Time, page quorum.ScanResponse) (sends []Send, done bool) {
	voter, isVoter := r.Membership.Find(page.Disk)
	progress := r.progressByDisk[page.Disk]
	if page.Round != r.Round || page.Membership != r.Membership.Epoch || !isVoter || !voter.Counted {
		return nil, r.Done()
	}
	if progress == nil || progress.done || page.After != progress.lastKey {
		return nil, r.Done()
	}
	if r.awaitsDigests() {
		if progress.digest = page.Digest; progress.digest == nil {
			return nil, false
		}
		if r.compareDigests(r.countedVoters()); !r.compared {
			return nil, false
		}
		return r.Tick(now), r.Done()
	}
	if page.Digest != nil {
		return nil, r.Done() // late: the digests were compared without it
	}
	for _, row := range page.Rows {
		progress.rows[row.Key] = row.Record
		progress.lastKey = row.Key
	}
	if page.More && len(page.Rows) > 0 {
		return []Send{r.scanNextPage(now, voter, progress)}, false
	}
	progress.done = true
	return nil, r.Done()
}

// Done reports whether enough disks have been read.
func (r *Reader) Done() bool {
	if r.WaitForAll {
		return r.readFrom(r.countedVoters())
	}
	return r.HasMajority()
}

// readFrom reports whether the required number of disks has been read completely, or need not be
// because no bucket differs.
func (r *Reader) readFrom(required int) bool {
	if r.awaitsDigests() {
		return false
	}
	if r.compared && len(r.differing) == 0 {
		return true
	}
	done, _ := r.Coverage()
	return done >= required
}

// HasMajority reports whether a majority has been read, also while all disks are waited for.
func (r *Reader) HasMajority() bool { return r.readFrom(r.Membership.Majority()) }

// Entries merges what was read: of each key the newest accepted state and the highest promise.
func (r *Reader) Entries() map[ident.Key]Entry {
	entries := map[ident.Key]Entry{}
	for _, progress := range r.progressByDisk {
		if !progress.done {
			continue
		}
		for key := range progress.rows {
			entries[key] = Entry{Key: key, Agreed: true}
		}
	}
	for key, entry := range entries {
		first := true
		for _, progress := range r.progressByDisk {
			if !progress.done {
				continue
			}
			record := progress.rows[key]
			if !first && !record.SameState(entry.Record) {
				entry.Agreed = false
			}
			highestPromise := entry.Record.Promised
			if highestPromise.Less(record.Promised) {
				highestPromise = record.Promised
			}
			if first || record.NewerThan(entry.Record) {
				entry.Record = record
			}
			entry.Record.Promised = highestPromise
			first = false
		}
		entries[key] = entry
	}
	return entries
}

// Coverage returns how many disks were read completely, and how many count.
func (r *Reader) Coverage() (read, counted int) {
	for _, progress := range r.progressByDisk {
		if progress.done {
			read++
		}
	}
	return read, r.countedVoters()
}

// CountHolders counts the disks that were read, without one of them, whose copy of the key is not
// older than a state.
func (r *Reader) CountHolders(key ident.Key, state quorum.Record, without ident.Disk) int {
	holders := 0
	for disk, progress := range r.progressByDisk {
		if disk != without && progress.done && !state.NewerThan(progress.rows[key]) {
			holders++
		}
	}
	return holders
}

// Lagging lists the disks whose copy of the key is older than the newest one read.
func (r *Reader) Lagging(entry Entry) []ident.Disk {
	var disks []ident.Disk
	for disk, progress := range r.progressByDisk {
		if progress.done && entry.Record.NewerThan(progress.rows[entry.Key]) {
			disks = append(disks, disk)
		}
	}
	return disks
}
