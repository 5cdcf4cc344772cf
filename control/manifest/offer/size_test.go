package offer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/chain"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
)

// term is one owner's, with what it keeps between operations.
type tenure struct {
	state
	kept any
}

func (n *tenure) do(kind string, args any) proposer.Result {
	v := offer.Handlers().Apply(proposer.Context{Revision: n.rev, Decoded: n.kept}, n.value, proposer.Operation{Key: offer.Key, Kind: kind, Args: operation.Encode(args), Repeatable: true})
	if v.Changed {
		n.value, n.kept = v.Value, nil
		n.rev++
	}
	if v.Decoded != nil {
		n.kept = v.Decoded
	}
	return v
}

// What is stored beside the manifest is bounded: by the window of the chain, and by the
// lines that the audit log has not got yet.
func TestBytesBesideTheManifest(t *testing.T) {
	const (
		perChange = 14  // of the chain: a step, its end and a mark
		perLine   = 110 // that waits for the audit log
		fixed     = 300
		auditPace = 3 // changes between two looks of the audit log's duty
	)
	n := &tenure{}
	must.Nil(t, n.do("manifest/offer", onRelease(offer.Whole, 0, whole(1, ""))).Failure)
	release := uint64(1)
	for _, changes := range []uint64{0, 300, 1000} {
		for ; release < 1+changes; release++ {
			if release%auditPace == 0 {
				must.Nil(t, n.do("manifest/lines", offer.LinesArgs{After: ident.Epoch(n.rev)}).Failure)
			}
			must.Nil(t, n.do("manifest/offer", onRelease(offer.Change, release, fmt.Sprintf(`{"release":%d}`, release+1))).Failure)
		}
		beside := len(n.value) - len(n.read().Manifest)
		t.Logf("after %d changes: %d bytes beside a manifest of %d", changes, beside, len(n.read().Manifest))
		must.LessEq(t, fixed+auditPace*perLine+perChange*min(int(changes)+1, chain.Window), beside)
	}
}

// No line is dropped that the audit log is not known to hold, and a new owner knows nothing
// of it; the newest line always stays, for the exact repeat.
func TestLinesWaitForTheAuditLog(t *testing.T) {
	n := &tenure{}
	must.Nil(t, n.do("manifest/offer", onRelease(offer.Whole, 0, whole(1, ""))).Failure)
	change := func() {
		release := n.read().Release
		must.Nil(t, n.do("manifest/offer", onRelease(offer.Change, release, fmt.Sprintf(`{"release":%d}`, release+1))).Failure)
	}
	lines := func(after ident.Epoch) (out []ident.Epoch) {
		v := n.do("manifest/lines", offer.LinesArgs{After: after})
		must.False(t, v.Changed)
		var all []offer.Line
		must.NoError(t, json.Unmarshal(v.Body, &all))
		for _, l := range all {
			out = append(out, l.Epoch)
		}
		return out
	}
	for range 4 {
		change()
	}
	must.Eq(t, []ident.Epoch{1, 2, 3, 4, 5}, lines(0))
	lines(3)
	lines(2) // of a duty that lags behind another
	change()
	must.Eq(t, []ident.Epoch{4, 5, 6}, lines(0))
	lines(6)
	n.kept = nil // a new owner
	change()
	must.Eq(t, []ident.Epoch{4, 5, 6, 7}, lines(7))
	must.Nil(t, n.do("manifest/offer", onRelease(offer.Whole, 0, string(n.read().Manifest))).Failure)
	change()
	must.Eq(t, []ident.Epoch{8}, lines(0))
}

// ways are the ways of a large manifest.
func ways(count int) string {
	var out []string
	for i := range count {
		out = append(out, fmt.Sprintf(`"r-%07x":{"host":"jepu%d.example","pathStart":"/lepu%d/ny%d/","repeat":"repeatable","timeoutMs":500,"aimMs":200,"rank":2,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"tries":2}`, i*7919, i%9, i, i))
	}
	return strings.Join(out, ",")
}

// What a change of one way sends to a disk that has the base is its own size, in a manifest
// of 500 ways, however many changes were made.
func TestBytesSentForAChange(t *testing.T) {
	const mostBytes = 1200
	n := &tenure{}
	must.Nil(t, n.do("manifest/offer", onRelease(offer.Whole, 0, `{"release":1,"services":{"a":{},"b":{}},"ways":{`+ways(500)+`}}`)).Failure)
	var ballot ident.Ballot
	release := uint64(1)
	for _, changes := range []uint64{1, 40, 300} {
		sent := 0
		for ; release < 1+changes; release++ {
			if release%3 == 0 {
				must.Nil(t, n.do("manifest/lines", offer.LinesArgs{After: ident.Epoch(n.rev)}).Failure)
			}
			base := quorum.Record{Accepted: ballot, Revision: n.rev, Value: n.value}
			change := fmt.Sprintf(`{"release":%d,"upsert":{"ways":{"r-%07x":{"host":"new%d.example","timeoutMs":500,"service":"a"}}}}`, release+1, release%500*7919, release)
			must.Nil(t, n.do("manifest/offer", onRelease(offer.Change, release, change)).Failure)
			p := quorum.Diff(base, ballot, n.value)
			must.NotNil(t, p, must.Sprint(release))
			got, ok := p.Apply(base, ballot)
			must.True(t, ok)
			must.Eq(t, string(n.value), string(got))
			sent = len(operation.Encode(p))
			must.Less(t, mostBytes, sent, must.Sprint(release))
		}
		t.Logf("after %d changes: %d bytes sent for one of a value of %d", changes, sent, len(n.value))
	}
}
