package proposal_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/history"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// term is one owner's, with what it keeps between operations.
type term struct {
	fixture
	decoded any
}

func (n *term) do(kind string, args any) proposer.Result {
	result := proposal.Handlers().Apply(proposer.Context{Revision: n.revision, Decoded: n.decoded}, n.value, proposer.Operation{Key: proposal.Key, Kind: kind, Args: operation.Encode(args), Repeatable: true})
	if result.Changed {
		n.value, n.decoded = result.Value, nil
		n.revision++
	}
	if result.Decoded != nil {
		n.decoded = result.Decoded
	}
	return result
}

// What is stored beside the manifest is bounded: by the window of the chain, and by the
// lines that the audit log has not got yet.
func TestBytesBesideTheDocument(t *testing.T) {
	const (
		perChange     = 14  // of the chain: a step, its end and a mark
		perAuditEntry = 110 // that waits for the audit log
		fixed         = 300
		auditInterval = 3 // changes between two looks of the audit log's duty
	)
	n := &term{}
	must.Nil(t, n.do("manifest/offer", argsOnVersion(proposal.FullConfig, 0, fullConfig(1, ""))).Failure)
	version := uint64(1)
	for _, changes := range []uint64{0, 300, 1000} {
		for ; version < 1+changes; version++ {
			if version%auditInterval == 0 {
				must.Nil(t, n.do("manifest/lines", proposal.AuditArgs{After: ident.Epoch(n.revision)}).Failure)
			}
			must.Nil(t, n.do("manifest/offer", argsOnVersion(proposal.ItemPatch, version, fmt.Sprintf(`{"release":%d}`, version+1))).Failure)
		}
		beside := len(n.value) - len(n.read().Document)
		t.Logf("after %d changes: %d bytes beside a manifest of %d", changes, beside, len(n.read().Document))
		must.LessEq(t, fixed+auditInterval*perAuditEntry+perChange*min(int(changes)+1, history.MaxEntries), beside)
	}
}

// No line is dropped that the audit log is not known to hold, and a new owner knows nothing
// of it; the newest line always stays, for the exact repeat.
func TestEntriesWaitForTheAuditLog(t *testing.T) {
	n := &term{}
	must.Nil(t, n.do("manifest/offer", argsOnVersion(proposal.FullConfig, 0, fullConfig(1, ""))).Failure)
	change := func() {
		version := n.read().Version
		must.Nil(t, n.do("manifest/offer", argsOnVersion(proposal.ItemPatch, version, fmt.Sprintf(`{"release":%d}`, version+1))).Failure)
	}
	revisions := func(after ident.Epoch) (out []ident.Epoch) {
		result := n.do("manifest/lines", proposal.AuditArgs{After: after})
		must.False(t, result.Changed)
		var all []proposal.AuditEntry
		must.NoError(t, json.Unmarshal(result.Body, &all))
		for _, entry := range all {
			out = append(out, entry.Revision)
		}
		return out
	}
	for range 4 {
		change()
	}
	must.Eq(t, []ident.Epoch{1, 2, 3, 4, 5}, revisions(0))
	revisions(3)
	revisions(2) // of a duty that lags behind another
	change()
	must.Eq(t, []ident.Epoch{4, 5, 6}, revisions(0))
	revisions(6)
	n.decoded = nil // a new owner
	change()
	must.Eq(t, []ident.Epoch{4, 5, 6, 7}, revisions(7))
	must.Nil(t, n.do("manifest/offer", argsOnVersion(proposal.FullConfig, 0, string(n.read().Document))).Failure)
	change()
	must.Eq(t, []ident.Epoch{8}, revisions(0))
}

// routeList are the ways of a large manifest.
func routeList(count int) string {
	var routes []string
	for i := range count {
		routes = append(routes, fmt.Sprintf(`"r-%07x":{"host":"jepu%d.example","pathStart":"/lepu%d/ny%d/","repeat":"repeatable","timeoutMs":500,"aimMs":200,"rank":2,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"tries":2}`, i*7919, i%9, i, i))
	}
	return strings.Join(routes, ",")
}

// What a change of one way sends to a disk that has the base is its own size, in a manifest
// of 500 ways, however many changes were made.
func TestBytesSentForAChange(t *testing.T) {
	const maxBytes = 1200
	n := &term{}
	must.Nil(t, n.do("manifest/offer", argsOnVersion(proposal.FullConfig, 0, `{"release":1,"services":{"a":{},"b":{}},"ways":{`+routeList(500)+`}}`)).Failure)
	var ballot ident.Ballot
	version := uint64(1)
	for _, changes := range []uint64{1, 40, 300} {
		sent := 0
		for ; version < 1+changes; version++ {
			if version%3 == 0 {
				must.Nil(t, n.do("manifest/lines", proposal.AuditArgs{After: ident.Epoch(n.revision)}).Failure)
			}
			base := quorum.Record{Accepted: ballot, Revision: n.revision, Value: n.value}
			change := fmt.Sprintf(`{"release":%d,"upsert":{"ways":{"r-%07x":{"host":"new%d.example","timeoutMs":500,"service":"a"}}}}`, version+1, version%500*7919, version)
			must.Nil(t, n.do("manifest/offer", argsOnVersion(proposal.ItemPatch, version, change)).Failure)
			p := quorum.Diff(base, ballot, n.value)
			must.NotNil(t, p, must.Sprint(version))
			got, ok := p.Apply(base, ballot)
			must.True(t, ok)
			must.Eq(t, string(n.value), string(got))
			sent = len(operation.Encode(p))
			must.Less(t, maxBytes, sent, must.Sprint(version))
		}
		t.Logf("after %d changes: %d bytes sent for one of a value of %d", changes, sent, len(n.value))
	}
}
