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

// proposerTerm is the control key during the term of one proposer, with the decoded form that the
// proposer retains between operations.
type proposerTerm struct {
	fixture
	decoded any
}

func (t *proposerTerm) apply(kind string, args any) proposer.Result {
	context := proposer.Context{Revision: t.revision, Decoded: t.decoded}
	op := proposer.Operation{Key: proposal.Key, Kind: kind, Args: operation.Encode(args), Repeatable: true}
	result := proposal.Handlers().Apply(context, t.value, op)
	if result.Changed {
		t.value, t.decoded = result.Value, nil
		t.revision++
	}
	if result.Decoded != nil {
		t.decoded = result.Decoded
	}
	return result
}

// The size of the stored state apart from the document is bounded by the length of the log and the
// number of entries that the audit log does not hold yet.
func TestStateOverheadIsBounded(t *testing.T) {
	const (
		perChange     = 14  // bytes in the log: an increment, its terminator and a fingerprint
		perAuditEntry = 110 // bytes of an entry that the audit log does not hold yet
		fixed         = 300
		auditInterval = 3 // changes between two reads for the audit log
	)
	current := &proposerTerm{}
	must.Nil(t, current.apply("manifest/offer", argsOnVersion(proposal.FullConfig, 0, fullConfig(1, ""))).Failure)
	version := uint64(1)
	for _, changes := range []uint64{0, 300, 1000} {
		for ; version < 1+changes; version++ {
			if version%auditInterval == 0 {
				must.Nil(t, current.apply("manifest/lines", proposal.AuditArgs{After: ident.ConfigRevision(current.revision)}).Failure)
			}
			patch := fmt.Sprintf(`{"release":%d}`, version+1)
			must.Nil(t, current.apply("manifest/offer", argsOnVersion(proposal.ItemPatch, version, patch)).Failure)
		}
		overhead := len(current.value) - len(current.read().Document)
		t.Logf("after %d changes: %d bytes in addition to a document of %d bytes", changes, overhead, len(current.read().Document))
		must.LessEq(t, fixed+auditInterval*perAuditEntry+perChange*min(int(changes)+1, history.MaxEntries), overhead)
	}
}

// Guards against the loss of audit entries: an entry is dropped only if the proposer knows that the
// audit log holds the entry, and a new proposer starts without this knowledge. The newest entry is
// always kept, to recognize a proposal of the configuration in force.
func TestAuditEntriesAreKeptUntilLogged(t *testing.T) {
	current := &proposerTerm{}
	must.Nil(t, current.apply("manifest/offer", argsOnVersion(proposal.FullConfig, 0, fullConfig(1, ""))).Failure)
	change := func() {
		version := current.read().Version
		must.Nil(t, current.apply("manifest/offer", argsOnVersion(proposal.ItemPatch, version, fmt.Sprintf(`{"release":%d}`, version+1))).Failure)
	}
	revisions := func(after ident.ConfigRevision) (out []ident.ConfigRevision) {
		result := current.apply("manifest/lines", proposal.AuditArgs{After: after})
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
	must.Eq(t, []ident.ConfigRevision{1, 2, 3, 4, 5}, revisions(0))
	revisions(3)
	revisions(2) // from a reader that lags behind another
	change()
	must.Eq(t, []ident.ConfigRevision{4, 5, 6}, revisions(0))
	revisions(6)
	current.decoded = nil // a new proposer
	change()
	must.Eq(t, []ident.ConfigRevision{4, 5, 6, 7}, revisions(7))
	must.Nil(t, current.apply("manifest/offer", argsOnVersion(proposal.FullConfig, 0, string(current.read().Document))).Failure)
	change()
	must.Eq(t, []ident.ConfigRevision{8}, revisions(0))
}

// routeList returns the routes of a large configuration.
func routeList(count int) string {
	var routes []string
	for i := range count {
		routes = append(routes, fmt.Sprintf(
			`"r-%07x":{"host":"jepu%d.example","pathStart":"/lepu%d/ny%d/","repeat":"repeatable","timeoutMs":500,`+
				`"aimMs":200,"rank":2,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"tries":2}`,
			i*7919, i%9, i, i))
	}
	return strings.Join(routes, ",")
}

// In a configuration of 500 routes, the diff of a change of one route, sent to a disk that holds
// the base, has at most maxBytes bytes, however many changes were made before.
func TestChangeDiffSizeIsBounded(t *testing.T) {
	const maxBytes = 1200
	current := &proposerTerm{}
	document := `{"release":1,"services":{"a":{},"b":{}},"ways":{` + routeList(500) + `}}`
	must.Nil(t, current.apply("manifest/offer", argsOnVersion(proposal.FullConfig, 0, document)).Failure)
	var ballot ident.Ballot
	version := uint64(1)
	for _, changes := range []uint64{1, 40, 300} {
		sent := 0
		for ; version < 1+changes; version++ {
			if version%3 == 0 {
				must.Nil(t, current.apply("manifest/lines", proposal.AuditArgs{After: ident.ConfigRevision(current.revision)}).Failure)
			}
			base := quorum.Record{Accepted: ballot, Revision: current.revision, Value: current.value}
			change := fmt.Sprintf(
				`{"release":%d,"upsert":{"ways":{"r-%07x":{"host":"new%d.example","timeoutMs":500,"service":"a"}}}}`,
				version+1,
				version%500*7919,
				version,
			)
			must.Nil(t, current.apply("manifest/offer", argsOnVersion(proposal.ItemPatch, version, change)).Failure)
			diff := quorum.Diff(base, ballot, current.value)
			must.NotNil(t, diff, must.Sprint(version))
			got, ok := diff.Apply(base, ballot)
			must.True(t, ok)
			must.Eq(t, string(current.value), string(got))
			sent = len(operation.Encode(diff))
			must.Less(t, maxBytes, sent, must.Sprint(version))
		}
		t.Logf("after %d changes: %d bytes sent for a change of a value of %d", changes, sent, len(current.value))
	}
}
