// Package quorumread reads the records with a key prefix from a majority of disks, and determines
// which records the disks agree on and which copies are outdated.
package quorumread

import (
	"bytes"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

const (
	// resendAfter is the time after which an unanswered scan is sent again.
	resendAfter = 200 * time.Millisecond
	// digestWait is the time that a read waits for the digests of all disks; after that, the
	// digests of a majority are enough.
	digestWait = 400 * time.Millisecond
)

// Entry is the merged record of one key. Invariant: if Agreed, every disk that was read has the same
// accepted state of the key, so that state is chosen and was the newest when the read began or
// later.
type Entry struct {
	Key    ident.Key
	Record quorum.Record
	Agreed bool
}

// diskProgress holds the data read from one disk so far.
type diskProgress struct {
	digest     []byte
	rows       map[ident.Key]quorum.Record
	lastKey    ident.Key
	done       bool
	lastSentAt monotime.Time
}

// Reader performs one quorum read. Invariant: a Reader belongs to one membership epoch; the caller
// drops the Reader when the membership changes.
type Reader struct {
	Round      uint64
	Prefix     string
	Values     bool
	Membership quorum.Membership
	Excluded   ident.Disk
	// WaitForAll makes the read wait for every counted voter rather than a majority. Anti-entropy
	// needs this, because an outdated copy may be on the slowest disk.
	WaitForAll bool
	// Buckets, when set, is the number of buckets of keys whose digests are compared first; only
	// buckets that differ are read. Invariant: differingBuckets is set once the digests are
	// compared, and is empty if all disks that responded have the same digests.
	Buckets          int
	differingBuckets []int
	digestsCompared  bool
	startedAt        monotime.Time
	progressByDisk   map[ident.Disk]*diskProgress
}

// Send is one scan to one disk.
type Send struct {
	To   quorum.Voter
	Scan quorum.Scan
}

// New returns a quorum read. The disk excluded is not read.
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

// Tick returns the scans to send now: the first scan of each disk, and scans whose response is
// overdue.
func (r *Reader) Tick(now monotime.Time) []Send {
	var sends []Send
	if r.startedAt == 0 {
		r.startedAt = now
	}
	if r.awaitsDigests() && now.Since(r.startedAt) >= digestWait {
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
		responseDue := progress.lastSentAt == 0 || now.Since(progress.lastSentAt) >= resendAfter
		if progress.done || digestReceived || !responseDue {
			continue
		}
		sends = append(sends, r.scanNextPage(now, voter, progress))
	}
	return sends
}

// awaitsDigests reports whether the read compares digests first and has not done so yet.
func (r *Reader) awaitsDigests() bool { return r.Buckets > 0 && !r.digestsCompared }

// scanNextPage returns the scan for the page after the last row read from a disk.
func (r *Reader) scanNextPage(now monotime.Time, voter quorum.Voter, progress *diskProgress) Send {
	progress.lastSentAt = now
	return Send{voter, quorum.Scan{
		Round:       r.Round,
		Membership:  r.Membership.Epoch,
		Prefix:      r.Prefix,
		After:       progress.lastKey,
		Values:      r.Values,
		Buckets:     r.Buckets,
		OnlyBuckets: r.differingBuckets,
	}}
}

// compareDigests determines the buckets that differ, once the required number of disks has sent
// digests.
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
	r.digestsCompared = true
	for i, bucketDiffers := range differs {
		if bucketDiffers {
			r.differingBuckets = append(r.differingBuckets, i)
		}
	}
	for _, progress := range r.progressByDisk {
		progress.lastSentAt, progress.done = 0, len(r.differingBuckets) == 0 && progress.digest != nil
	}
}

// countedVoters returns the number of counted voters whose disk is not excluded.
func (r *Reader) countedVoters() (n int) {
	for _, voter := range r.Membership.Voters {
		if voter.Counted && voter.Disk != r.Excluded {
			n++
		}
	}
	return n
}

// Step handles one response and returns the scans to send next. done is true once a majority, or
// with WaitForAll every counted voter, has been read completely.
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
		if r.compareDigests(r.countedVoters()); !r.digestsCompared {
			return nil, false
		}
		return r.Tick(now), r.Done()
	}
	if page.Digest != nil {
		return nil, r.Done() // late: the digests were compared without this disk's
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
		return r.hasRead(r.countedVoters())
	}
	return r.HasMajority()
}

// hasRead reports whether the required number of disks has been read completely, or no disk needs
// to be read because no bucket differs.
func (r *Reader) hasRead(required int) bool {
	if r.awaitsDigests() {
		return false
	}
	if r.digestsCompared && len(r.differingBuckets) == 0 {
		return true
	}
	done, _ := r.Coverage()
	return done >= required
}

// HasMajority reports whether a majority has been read, even if WaitForAll makes the read wait for
// more disks.
func (r *Reader) HasMajority() bool { return r.hasRead(r.Membership.Majority()) }

// Entries merges the rows of the disks that were read completely: each entry has the newest accepted
// state and the highest promise of its key.
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

// Coverage returns how many disks were read completely, and how many the read covers in all.
func (r *Reader) Coverage() (read, counted int) {
	for _, progress := range r.progressByDisk {
		if progress.done {
			read++
		}
	}
	return read, r.countedVoters()
}

// CountHolders returns the number of completely read disks, except excluded, whose copy of the key
// is not older than state.
func (r *Reader) CountHolders(key ident.Key, state quorum.Record, excluded ident.Disk) int {
	holders := 0
	for disk, progress := range r.progressByDisk {
		if disk != excluded && progress.done && !state.NewerThan(progress.rows[key]) {
			holders++
		}
	}
	return holders
}

// Lagging returns the completely read disks whose copy of the key is older than the entry.
func (r *Reader) Lagging(entry Entry) []ident.Disk {
	var disks []ident.Disk
	for disk, progress := range r.progressByDisk {
		if progress.done && entry.Record.NewerThan(progress.rows[entry.Key]) {
			disks = append(disks, disk)
		}
	}
	return disks
}
