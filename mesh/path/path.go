// Package path is a request's walk through the sidecar of its caller: way, pick,
// send, return, and whether to try again.
package path

import (
	"hash/fnv"
	"maps"
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/rollout/drive"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/allowance"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/pick"
	"cottonarch.example/cottonarch/mesh/registry/index"
	"cottonarch.example/cottonarch/mesh/way"
)

// Verdict is what became of one try.
type Verdict string

// The three verdicts. Invariant: NotRun is said only when it is proved, by the
// gate's refusal or because no byte was sent, and never of something still queued.
const (
	Ran    Verdict = "ran"
	NotRun Verdict = "not-run"
	Unsure Verdict = "unknown"
	least          = 5 * time.Millisecond
	// soon is when a caller may come back that was turned away, in seconds.
	soon = 0.1
	// freeMost is how many tries of a call may end before any endpoint without a charge,
	// so that machines that can't be reached make no storm.
	freeMost = 4
)

// Call is one request of a caller. Invariant: risk is set once any try ended Unsure,
// and from then on the fate is never said to be "no".
type Call struct {
	Host, Path, Method, Caller string
	// Session, when given, keeps the calls of one session on one side of a split.
	Session string
	Until   monotime.Time

	Way     check.Way
	Service check.Service
	// Inner says that the endpoint of this machine may have made the call.
	Inner bool

	past    map[ident.Server]bool
	tries   int
	arrived int     // tries that may have arrived at an endpoint
	free    int     // tries that certainly did not
	paid    bool    // a further try was granted, and did not arrive yet
	repeat  float64 // the chance that the whole call is one of a run repeated
	risk    bool
	shed    bool
	last    *failure.Error
	now     index.Entry
}

// Safe tells whether the call may be run twice: its way says so, or else its method.
func (c *Call) Safe() bool { return c.Way.Repeat.Safe(c.Method) }

// Tries counts the tries so far.
func (c *Call) Tries() int { return c.tries }

// Choice is what to do next: send to Entry, or end with Defect. Further says that the try
// was charged, since an earlier one may have arrived at an endpoint. Repeat is the chance,
// 0 to 1, that the run is a repeat, for allowance.Tree.Begin beside the endpoint.
type Choice struct {
	Further bool
	Repeat  float64
	Entry   index.Entry
	Limit   time.Duration
	Failure *failure.Error
	// Work, Peers and Must are for the bay at the destination; see bay.Ask. Bytes is what a
	// return of the way has had on the mean, for the link there.
	Work  time.Duration
	Bytes int
	Peers float64
	Must  bool
}

// End is the end of one try. Turned says the gate refused; Lost that the machine
// could not be reached or fell silent. Arrived says that a try that was not run reached
// the endpoint, which turned it away itself; of the other verdicts it is taken for granted.
type End struct {
	Verdict Verdict
	Failure *failure.Error
	Turned  bool
	Lost    bool
	Arrived bool
	Bad     bool // a return that says the endpoint failed
	// Shed says that the bay turned it away: the endpoint is known, and not suspect.
	Shed bool
	// Told is what the gate told of its endpoint with this end, nil if it did not.
	Told *loadreport.Report
	// Took is how long the endpoint had it, 0 if that is not known, and Size its return's
	// bytes.
	Took time.Duration
	Size int64
}

// Path holds what one sidecar knows. Invariant: the manifest only moves to higher
// epochs, and never to one below Floor, the newest that was confirmed when this sidecar
// was let in: an earlier run of it may have shown that one.
type Path struct {
	Floor    ident.Epoch
	Index    *index.Index
	Picker   *pick.Picker
	Tree     *allowance.Tree
	manifest *check.Manifest
	ways     *way.Table
	ends     map[ident.Service]drive.Ends
	// Reckless breaks the retry rule; only tests of the checkers set it.
	Reckless bool
	// Counters.
	Calls, Further, GaveUp, NoWays uint64
}

// New makes a path without a manifest.
func New(now monotime.Time, district ident.District, seed uint64, terms allowance.Terms) *Path {
	return &Path{Index: index.New(), Picker: pick.New(district, seed), Tree: allowance.New(now, terms), ways: way.Build(nil), ends: map[ident.Service]drive.Ends{}}
}

// Epoch is the manifest epoch in force here.
func (p *Path) Epoch() ident.Epoch {
	if p.manifest == nil {
		return 0
	}
	return p.manifest.Epoch
}

// Ends counts, since the start, how the tries at each service ended.
func (p *Path) Ends() map[ident.Service]drive.Ends { return maps.Clone(p.ends) }

// Manifest is the one in force.
func (p *Path) Manifest() *check.Manifest { return p.manifest }

// Enforce puts a manifest in force unless it is older.
func (p *Path) Enforce(m *check.Manifest) bool {
	if m.Epoch <= p.Epoch() || m.Epoch < p.Floor {
		return false
	}
	p.manifest, p.ways = m, way.Build(m)
	return true
}

// Way finds a call's way and sets its limit.
func (p *Path) Way(now monotime.Time, c *Call, asked time.Duration) *failure.Error {
	if p.manifest == nil {
		return failure.New(failure.NotReady, "no manifest is in force yet").Later(soon)
	}
	w, d := p.ways.Find(c.Host, c.Path)
	if d != nil {
		p.NoWays++
		return d
	}
	w.Service = p.side(now, c, w)
	c.Way, c.Service, c.past = w, p.manifest.Services[w.Service], map[ident.Server]bool{}
	limit := w.Limit
	if asked > 0 && asked < limit {
		limit = asked
	}
	c.Until = now.Add(limit)
	p.Calls++
	if c.Inner {
		c.repeat = p.Tree.Inner(now, c.Service, c.Caller)
	} else {
		p.Tree.Call(now, c.Service, c.Caller)
	}
	return nil
}

// side chooses the service of a split way. The new services have the low parts,
// so as their parts grow a session moves once and not back. A side without any well
// workload is passed over.
func (p *Path) side(now monotime.Time, c *Call, w check.Way) ident.Service {
	if len(w.Split) == 0 {
		return w.Service
	}
	x := p.Picker.Draw(check.Whole)
	if c.Session != "" {
		h := fnv.New32a()
		_, _ = h.Write([]byte(w.Name + "\x00" + c.Session))
		x = int(h.Sum32() % check.Whole)
	}
	for _, s := range w.Split {
		if x < s.Millionths() {
			if _, ok := p.Picker.Choose(now, p.Index.Workloads(s.Service), nil); ok {
				return s.Service
			}
			return w.Service
		}
		x -= s.Millionths()
	}
	return w.Service
}

// Next chooses the next try, or ends the call. Giving up is said at once.
func (p *Path) Next(now monotime.Time, c *Call) Choice {
	left := c.Until.Since(now)
	if left < least {
		return p.give(c, failure.New(failure.Late, "the time for the request is over"))
	}
	if c.arrived >= c.Way.Tries || c.free > freeMost {
		return p.give(c, c.last)
	}
	e, ok := p.Picker.ChooseFor(now, c.Way.Name, p.Index.Workloads(c.Way.Service), c.past)
	if !ok {
		if c.last != nil {
			return p.give(c, c.last)
		}
		return p.give(c, failure.New(failure.NoWorkload, "no well endpoint of %q", c.Way.Service).Later(soon))
	}
	further, repeat := c.arrived > 0, c.repeat
	if further {
		if !c.paid {
			if !p.Tree.Again(now, c.Service, c.Caller) {
				return p.give(c, c.last)
			}
			p.Further++
		}
		c.paid, repeat = true, 1
	}
	c.tries++
	c.past[e.UID] = true
	c.now = e
	p.Picker.Sent(e.UID)
	return Choice{Entry: e, Limit: left, Further: further, Repeat: repeat, Work: p.Picker.Work(c.Way.Name), Bytes: p.Picker.Bytes(c.Way.Name), Peers: p.Picker.Peers(c.Way.Service),
		Must: c.shed || p.Picker.Must(now, e.UID)}
}

// Ended takes the end of the try that was out; again says whether another may follow.
func (p *Path) Ended(now monotime.Time, c *Call, e End) (again bool) {
	if e.Verdict != NotRun || e.Arrived {
		c.arrived++
		c.paid = false
	} else {
		c.free++
	}
	if e.Verdict != NotRun {
		n := p.ends[c.Way.Service]
		n.All++
		if e.Verdict == Unsure || e.Bad {
			n.Bad++
		}
		p.ends[c.Way.Service] = n
	}
	p.Picker.Back(now, c.now, e.Verdict == Unsure, e.Lost)
	if e.Told != nil {
		p.Picker.Heard(now, c.now.UID, *e.Told)
	}
	if e.Verdict == Ran && !e.Bad && e.Took > 0 {
		p.Picker.Ran(now, c.Way.Name, e.Took, e.Size)
	}
	c.shed = c.shed || e.Shed
	// A repeat that finds no room at a gate says nothing of the endpoint behind it.
	if e.Turned && !e.Shed && !(c.paid && e.Failure != nil && e.Failure.Kind == failure.Busy) {
		p.Picker.TurnedAway(now, c.now.UID)
	}
	if e.Verdict == Ran {
		// A failure of the endpoint's own ran; only what may run again goes elsewhere.
		return e.Bad && c.Safe()
	}
	c.last = e.Failure
	if e.Verdict == Unsure {
		c.risk = true
		return c.Safe() || p.Reckless
	}
	return true
}

// Final is the failure to end the call with, its fate as known.
func (p *Path) Final(c *Call) *failure.Error { return p.give(c, c.last).Failure }

func (p *Path) give(c *Call, d *failure.Error) Choice {
	p.GaveUp++
	if d == nil {
		d = failure.New(failure.NoWorkload, "no try could be made")
	}
	end := *d
	end.Outcome = failure.NotExecuted
	if c.risk {
		end.Outcome = failure.OutcomeUnknown
		if end.Status() == 503 {
			end.Kind = failure.LostResponse
		}
	}
	if end.RetryAfter == 0 && (end.Outcome == failure.NotExecuted || c.Safe()) && end.Kind != failure.NoRoute {
		end.RetryAfter = soon
	}
	return Choice{Failure: &end}
}
