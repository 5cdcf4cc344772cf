package acceptor

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

const (
	// maxPageBytes is the approximate size at which a page is full.
	maxPageBytes = 512 << 10
	// rowOverhead is the approximate number of bytes of a row in a page besides its key and value.
	rowOverhead = 150
	// maxBuckets bounds the number of digests that one scan may request.
	maxBuckets = 1 << 12
)

// Scan returns one page of records, or the digests of all buckets. It returns false if the scan
// must not be answered: its membership epoch differs or its number of buckets is out of range.
func (a *Acceptor) Scan(membership ident.MembershipEpoch, scan quorum.Scan) (quorum.ScanResponse, bool) {
	response := quorum.ScanResponse{Round: scan.Round, Disk: a.Disk, Membership: membership, After: scan.After}
	if scan.Membership != membership || membership == 0 || scan.Buckets < 0 || scan.Buckets > maxBuckets {
		return response, false
	}
	if scan.Buckets > 0 && len(scan.OnlyBuckets) == 0 {
		response.Digest = a.digests(scan)
	} else {
		response.Rows, response.More = a.page(scan)
	}
	return response, true
}

// digests returns the digests of all buckets, computed over the keys with the scan's prefix.
func (a *Acceptor) digests(scan quorum.Scan) []byte {
	digests := make([]byte, scan.Buckets*quorum.DigestBytes)
	a.tree.AscendGreaterOrEqual(&keyState{key: ident.Key(scan.Prefix)}, func(entry *keyState) bool {
		below := entry.key.HasPrefix(scan.Prefix)
		if below && !entry.Accepted.Zero() {
			quorum.AddToDigests(digests, entry.key, entry.Record)
		}
		return below
	})
	return digests
}

// page returns the rows that follow scan.After. more reports whether further rows follow.
func (a *Acceptor) page(scan quorum.Scan) (rows []quorum.Row, more bool) {
	size := 0
	start := max(ident.Key(scan.Prefix), scan.After)
	a.tree.AscendGreaterOrEqual(&keyState{key: start}, func(entry *keyState) bool {
		if entry.key == scan.After && scan.After != "" {
			return true
		}
		if !entry.key.HasPrefix(scan.Prefix) {
			return false
		}
		if scan.Buckets > 0 && !slices.Contains(scan.OnlyBuckets, quorum.Bucket(entry.key, scan.Buckets)) {
			return true
		}
		if more = size > maxPageBytes; more {
			return false
		}
		row := quorum.Row{Key: entry.key, Record: entry.Record}
		if !scan.Values {
			row.Record.Value = nil
		}
		size += len(entry.key) + len(row.Record.Value) + rowOverhead
		rows = append(rows, row)
		return true
	})
	return rows, more
}
