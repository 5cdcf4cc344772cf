package holder

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// budgetShareModel simulates sidecars that join one after the other and request shares of the retry
// budget over a network that loses, delays, duplicates and reorders messages. A step is 100 ms.
type budgetShareModel struct {
	t        *testing.T
	rng      *rand.Rand
	now      monotime.Time
	value    json.RawMessage // the replicated state of the cores
	inFlight []message
	shares   []*BudgetShare
	usable   [][]int // usable share of each sidecar, by step
}

// message is a request or a response in flight.
type message struct {
	deliverAt monotime.Time
	deliver   func()
}

const (
	step      = 100 * time.Millisecond
	nodeCount = 40
	stepCount = 3000
	// windowSteps is the window of the retry budget, in steps.
	windowSteps = 100
)

// apply executes a request at the cores.
func (m *budgetShareModel) apply(args quota.Args) (grant quota.Share, ok bool) {
	result := quota.Handlers().Apply(proposer.Context{}, m.value, proposer.Operation{Kind: "share/take", Args: operation.Encode(args)})
	if result.Changed {
		m.value = result.Value
	}
	return grant, result.Failure == nil && json.Unmarshal(result.Body, &grant) == nil
}

// join lets the next sidecar join at a random step.
func (m *budgetShareModel) join(index int) {
	if n := len(m.shares); n < nodeCount && index%(1+m.rng.IntN(40)) == 0 {
		share := &BudgetShare{}
		grant, ok := m.apply(quota.Args{Node: ident.Node(fmt.Sprint(n)), LeaseEpoch: 1})
		must.True(m.t, ok)
		share.Reset(m.now, grant)
		m.shares, m.usable = append(m.shares, share), append(m.usable, nil)
	}
}

// deliver delivers the messages that are due. The delivery of a request may add the response to the
// messages in flight.
func (m *budgetShareModel) deliver() {
	due := m.inFlight
	m.inFlight = nil
	for _, msg := range due {
		if msg.deliverAt <= m.now {
			msg.deliver()
		} else {
			m.inFlight = append(m.inFlight, msg)
		}
	}
}

// sendDueRequest lets a sidecar send its request for a share, if a request is due. The request is
// lost, or arrives once or twice.
func (m *budgetShareModel) sendDueRequest(n int, share *BudgetShare) {
	if m.rng.IntN(3) == 0 {
		share.SetMemberCount(m.now, len(m.shares))
	}
	args, ok := share.NextRequest(m.now, ident.Node(fmt.Sprint(n)), 1)
	for copies := m.rng.IntN(3); ok && copies > 0; copies-- {
		arrivesAt := m.now.Add(time.Duration(m.rng.IntN(6000)) * time.Millisecond)
		m.inFlight = append(m.inFlight, message{arrivesAt, func() { m.handleRequest(arrivesAt, share, args) }})
	}
}

// handleRequest executes a request at the cores; one response in four is lost.
func (m *budgetShareModel) handleRequest(arrivesAt monotime.Time, share *BudgetShare, args quota.Args) {
	if grant, ok := m.apply(args); ok && m.rng.IntN(4) > 0 {
		returnsAt := arrivesAt.Add(time.Duration(m.rng.IntN(3000)) * time.Millisecond)
		m.inFlight = append(m.inFlight, message{returnsAt, func() { share.ApplyGrant(returnsAt, grant) }})
	}
}

// usableInWindow returns the sum, over all sidecars, of the largest usable share that the sidecar
// had within the window that ends now.
func (m *budgetShareModel) usableInWindow() (sum int) {
	for n, share := range m.shares {
		m.usable[n] = append(m.usable[n], share.Usable())
		sum += slices.Max(m.usable[n][max(0, len(m.usable[n])-windowSteps):])
	}
	return sum
}

// Forty sidecars join one after the other; requests and responses are lost, late, duplicated and
// reordered. The sum of the usable shares within any window never exceeds the total, and in the end
// every sidecar has its fair share.
func TestUsableSharesNeverExceedTotal(t *testing.T) {
	for seed := range uint64(40) {
		m := &budgetShareModel{t: t, rng: rand.New(rand.NewPCG(seed, 9))}
		for index := range stepCount {
			m.now = monotime.Time(index+10) * monotime.Time(step)
			m.join(index)
			m.deliver()
			for n, share := range m.shares {
				m.sendDueRequest(n, share)
			}
			sum := m.usableInWindow()
			must.LessEq(t, quota.DefaultTotal, sum, must.Sprintf("seed %d: %d usable within one window", seed, sum))
		}
		must.Len(t, nodeCount, m.shares)
		for n, share := range m.shares {
			must.Eq(t, quota.FairShare(quota.DefaultTotal, nodeCount), share.Usable(), must.Sprintf("seed %d node %d", seed, n))
		}
	}
}
