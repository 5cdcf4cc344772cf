package history_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/history"
)

// recordedChange is a change in the unbounded list with which the log is compared.
type recordedChange struct {
	history.Change
	previousVersion uint64 // version before the change
	versionRose     bool
}

// Compares the log with an unbounded list of changes: for proposals on every base, with the
// accepted and with another fingerprint, the log must report the true status or Unknown. For the
// newest MaxEntries changes, the log must not report Unknown.
func TestLogAgainstUnboundedHistory(t *testing.T) {
	const changes, seeds = 600, 4
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(3, seed))
		log := history.New(0, 0)
		var all []recordedChange
		version := uint64(0)
		for i := range changes {
			previous := version
			version += []uint64{0, 1, 1, 1, 7, 1 << 40}[rng.IntN(6)]
			fingerprint := history.FingerprintOf(fmt.Sprint(seed, i))
			log = log.Append(version, fingerprint)
			all = append(all, recordedChange{
				Change:          history.Change{Revision: ident.ConfigRevision(i + 1), Version: version, Fingerprint: fingerprint},
				previousVersion: previous,
				versionRose:     version > previous,
			})
			if i%37 != 36 && i != changes-1 {
				continue
			}
			raw, err := json.Marshal(log)
			must.NoError(t, err)
			must.NoError(t, json.Unmarshal(raw, &log))
			must.Eq(t, log, (&log).ContinueAt(ident.ConfigRevision(i+1), version))
			for index, past := range all {
				remembered := len(all)-index <= history.MaxEntries
				checkStatus(t, log.StatusOnRevision, past.Revision-1, past, remembered)
				if past.versionRose {
					checkStatus(t, log.StatusOnVersion, past.previousVersion, past, remembered)
				}
				status, change := log.StatusOf(past.Fingerprint)
				must.Eq(t, remembered, status == history.Accepted)
				must.True(t, !remembered || change == past.Change)
				must.True(t, remembered || status == history.Unknown)
			}
			status, _ := log.StatusOnVersion(version, history.FingerprintOf("new"))
			must.Eq(t, history.Undecided, status)
			status, _ = log.StatusOnVersion(version+1, history.FingerprintOf("new"))
			must.Eq(t, history.NotAccepted, status)
			status, _ = log.StatusOnRevision(ident.ConfigRevision(i+1), history.FingerprintOf("new"))
			must.Eq(t, history.Undecided, status)
			status, _ = log.StatusOnRevision(ident.ConfigRevision(i+2), history.FingerprintOf("new"))
			must.Eq(t, history.NotAccepted, status)
		}
	}
}

// checkStatus checks the statuses of the accepted and of another fingerprint on the same base.
func checkStatus[B any](
	t *testing.T,
	statusOn func(B, history.Fingerprint) (history.Status, history.Change),
	base B,
	past recordedChange,
	remembered bool,
) {
	t.Helper()
	status, change := statusOn(base, past.Fingerprint)
	otherStatus, _ := statusOn(base, history.FingerprintOf("another"))
	if !remembered {
		must.Eq(t, history.Unknown, status, must.Sprint(base))
		must.Eq(t, history.Unknown, otherStatus, must.Sprint(base))
		return
	}
	must.Eq(t, history.Accepted, status, must.Sprint(base))
	must.Eq(t, past.Change, change)
	must.Eq(t, history.NotAccepted, otherStatus, must.Sprint(base))
}

// A base between two versions was never the newest version, so no proposal on it was accepted.
func TestBaseBetweenVersions(t *testing.T) {
	log := history.New(0, 0).Append(5, history.FingerprintOf("a")).Append(9, history.FingerprintOf("b"))
	for base, want := range map[uint64]history.Status{
		0:  history.Accepted,
		3:  history.NotAccepted,
		5:  history.NotAccepted,
		7:  history.NotAccepted,
		9:  history.Undecided,
		12: history.NotAccepted,
	} {
		status, _ := log.StatusOnVersion(base, history.FingerprintOf("a"))
		must.Eq(t, want, status, must.Sprint(base))
	}
}

// A malformed log, or a log that does not reach the newest revision, is replaced by a new log,
// which reports every earlier proposal as Unknown.
func TestMalformedLogIsReplaced(t *testing.T) {
	whole := history.New(0, 0).Append(5, history.FingerprintOf("a")).Append(9, history.FingerprintOf("b"))
	short := whole
	short.Encoded = short.Encoded[:len(short.Encoded)-1]
	malformed := whole
	malformed.Encoded = "!" + malformed.Encoded
	for _, log := range []*history.Log{nil, {}, &short, &malformed} {
		must.Eq(t, history.New(2, 9), log.ContinueAt(2, 9))
		status, _ := log.ContinueAt(2, 9).StatusOnVersion(5, history.FingerprintOf("b"))
		must.Eq(t, history.Unknown, status)
	}
	must.Eq(t, history.New(3, 9), whole.ContinueAt(3, 9))
	must.Eq(t, whole, whole.ContinueAt(2, 9))
}
