// Package holder is the sidecar's side of its claim: what it may take for granted.
package holder

import (
	"slices"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

// Holder reckons from the returns to renewals. Invariants: a disk's ack never goes
// back; only disks that said they vote count; Majority is a moment by which a
// majority of one roster size had taken a renewal sent no earlier.
type Holder struct {
	acks   map[ident.Disk]moment.Moment
	voters int
}

// New makes one that was never renewed.
func New() *Holder { return &Holder{acks: map[ident.Disk]moment.Moment{}} }

// Renewed takes one core's return to a renewal that was sent at the moment.
func (h *Holder) Renewed(sent moment.Moment, disk ident.Disk, votes bool, voters int) {
	h.voters = voters
	if votes {
		h.acks[disk] = max(h.acks[disk], sent)
	}
	// Disks long gone must not fill the map.
	for d, at := range h.acks {
		if sent.Since(at) > 120e9 {
			delete(h.acks, d)
		}
	}
}

// Majority is the newest moment by which a majority had taken a renewal, 0 if none.
func (h *Holder) Majority() moment.Moment {
	need := h.voters/2 + 1
	if h.voters == 0 || len(h.acks) < need {
		return 0
	}
	times := make([]moment.Moment, 0, len(h.acks))
	for _, at := range h.acks {
		times = append(times, at)
	}
	slices.Sort(times)
	return times[len(times)-need]
}
