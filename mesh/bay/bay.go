// Package bay is admission at the destination: the requests for the endpoints of one
// machine wait here, beside the gate, and not in the endpoints' own queues, so that their
// order stays ours and what is turned away is known not to have run.
package bay

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/burden"
)

// Settings say how requests are let in.
type Settings struct {
	// Extra is how many requests beyond its slots an endpoint may hold, so that a slot
	// does not stand idle for as long as a word takes to reach it.
	Extra int
	// Queue is how many may wait for each slot.
	Queue int
	// Yield is how many may wait for each slot while higher ranks let lower ones go first
	// that have less time to spare; 0 is never.
	Yield int
	// Margin is how many times its expected work a request must have left for its aim
	// when its turn is expected, or it is turned away.
	Margin float64
	// Cold is how many times as long an endpoint takes that has just started.
	Cold float64
	// IllMost is the part of runs that may fail, beyond one and a half times what fails
	// at its peers, before an endpoint gets no more than one trial in every Trial.
	IllMost float64
	Trial   time.Duration
	// Unknown is what a request is expected to take when nothing is known of it.
	Unknown time.Duration
	// RetryLeast and RetryMost bound when a request that was turned away may come back.
	RetryLeast, RetryMost time.Duration
}

// Usual gives the settings that the model of bay_model_test.go was run with.
func Usual() Settings {
	return Settings{Extra: 1, Queue: 8, Yield: 1, Margin: 1.25, Cold: 2, IllMost: 0.25, Trial: 200 * time.Millisecond,
		Unknown: 50 * time.Millisecond, RetryLeast: 10 * time.Millisecond, RetryMost: time.Second}
}

// Ask is one request for an endpoint.
type Ask struct {
	// ID names the request here; no two that are in hand share one.
	ID uint64
	// Rank 0 goes first.
	Rank int
	// Work is what its way takes at the service's mean endpoint, as its origin learnt it;
	// 0 is unknown.
	Work time.Duration
	// Early is until when it may be turned away at no price, Aim until when its return is
	// worth most, and Until when nobody waits for it any more. 0 is never, but Until must
	// be given.
	Early, Aim, Until monotime.Time
	// Peers is the part of runs that fails at the service's other endpoints, as the origin
	// has heard it.
	Peers float64
	// Must says that no better endpoint is left: it is not turned away because the
	// endpoint fails or is slow, only because too many wait.
	Must bool
}

// Word is what becomes of a request.
type Word uint8

// The words. Invariant: a request gets one Go or one TurnAway, never both, so what was
// turned away has never been at the endpoint.
const (
	Wait Word = iota
	Go
	TurnAway
)

// Why says for what reason a request was turned away.
type Why string

// The reasons.
const (
	Busy Why = "busy" // the wait would be too long, or too many wait
	Late Why = "late" // its time would be over
	Ill  Why = "ill"  // the endpoint fails
	Slow Why = "slow" // the endpoint alone takes longer than the request may
	Left Why = "left" // the endpoint is no more
)

// Act is what is to be done with a request now.
type Act struct {
	ID   uint64
	Word Word
	Why  Why
	// Retry is when to come back, for one that was turned away.
	Retry time.Duration
}

// End is how a request's time at the endpoint ended.
type End uint8

// The ends.
const (
	// Served: a whole return of the endpoint's own that is no failure.
	Served End = iota
	// Failed: the endpoint ran it or took it, and failed: a 5xx of its own but for what
	// says that it did not run, a return cut off or garbled.
	Failed
	// Over: given up, out of time, or not run. It tells nothing but that it would have taken
	// longer than it had; took is 0 for what never was at work.
	Over
)

// Bay holds the endpoints of one machine. It reads no clock; an Act is told once.
type Bay struct {
	set   Settings
	spots map[ident.Server]*spot
	acts  []Act
	// Counters.
	Passed, Waited uint64
	Turned         map[Why]uint64
}

// New makes an empty bay.
func New(s Settings) *Bay {
	return &Bay{set: s, spots: map[ident.Server]*spot{}, Turned: map[Why]uint64{}}
}

func (b *Bay) at(s ident.Server) *spot {
	t := b.spots[s]
	if t == nil {
		t = newSpot(&b.set)
		b.spots[s] = t
	}
	return t
}

// Tell takes what a beat says: how many requests the endpoint works on at once, 0 for
// unknown, which is as many as come; and for how long it will still be slow from its
// start. More slots may let waiting requests go.
func (b *Bay) Tell(now monotime.Time, s ident.Server, slots int, cold time.Duration) []Act {
	t := b.at(s)
	t.slots, t.cold = max(slots, 0), now.Add(max(cold, 0))
	return b.move(now, t)
}

// Offer brings a request. Its own word is among the acts unless it waits; others that it
// displaced may be among them too. The acts are good until the next call.
func (b *Bay) Offer(now monotime.Time, s ident.Server, a Ask) []Act {
	b.acts = b.acts[:0]
	t := b.at(s)
	if why, retry := t.judge(now, a); why != "" {
		b.turn(a.ID, why, retry)
		return b.acts
	}
	t.put(a)
	b.let(now, t)
	if len(t.line) > t.room() {
		last := t.line[len(t.line)-1]
		t.line = t.line[:len(t.line)-1]
		b.turn(last.ID, Busy, t.back(now, last))
	}
	if slices.ContainsFunc(t.line, func(x Ask) bool { return x.ID == a.ID }) {
		b.Waited++
	}
	return b.acts
}

// Done says that a request that went is over, and how long the endpoint had it.
func (b *Bay) Done(now monotime.Time, s ident.Server, id uint64, end End, took time.Duration) []Act {
	t := b.spots[s]
	if t == nil {
		return nil
	}
	t.done(now, id, end, took)
	return b.move(now, t)
}

// Quit says that nobody waits for a request any more that waits here.
func (b *Bay) Quit(now monotime.Time, s ident.Server, id uint64) []Act {
	t := b.spots[s]
	if t == nil {
		return nil
	}
	t.line = slices.DeleteFunc(t.line, func(a Ask) bool { return a.ID == id })
	return b.move(now, t)
}

// Tick turns away what can't be in time any more.
func (b *Bay) Tick(now monotime.Time) []Act {
	b.acts = b.acts[:0]
	for _, s := range b.servers() {
		t := b.spots[s]
		b.weed(now, t)
		b.let(now, t)
	}
	return b.acts
}

// Due is when Tick next has something to do, and whether there is such a time.
func (b *Bay) Due(now monotime.Time) (at monotime.Time, ok bool) {
	for _, t := range b.spots {
		for i := range t.line {
			if x := t.look(now, &t.line[i]); !ok || at.After(x) {
				at, ok = x, true
			}
		}
	}
	return at, ok
}

// Empty turns away whoever waits for an endpoint, which leaves or is not well; what is at
// it goes on, and what it took is still learnt.
func (b *Bay) Empty(s ident.Server) []Act {
	b.acts = b.acts[:0]
	if t := b.spots[s]; t != nil {
		for _, a := range t.line {
			b.turn(a.ID, Left, b.set.RetryLeast)
		}
		t.line = t.line[:0]
	}
	return b.acts
}

// Drop forgets an endpoint; whatever waits for it is turned away. Those that are at it
// need no Done any more.
func (b *Bay) Drop(s ident.Server) []Act {
	acts := b.Empty(s)
	delete(b.spots, s)
	return acts
}

// Burden is what to tell with a return of this endpoint; ok is false when nothing is
// known.
func (b *Bay) Burden(now monotime.Time, s ident.Server) (out burden.Burden, ok bool) {
	t := b.spots[s]
	if t == nil {
		return out, false
	}
	return t.burden(now), true
}

func (b *Bay) servers() []ident.Server {
	out := make([]ident.Server, 0, len(b.spots))
	for s := range b.spots {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// move weeds a line and lets go who may go.
func (b *Bay) move(now monotime.Time, t *spot) []Act {
	b.acts = b.acts[:0]
	b.weed(now, t)
	b.let(now, t)
	return b.acts
}

func (b *Bay) let(now monotime.Time, t *spot) {
	for len(t.line) > 0 && t.open() {
		a := t.next(now)
		b.Passed++
		b.acts = append(b.acts, Act{ID: a.ID, Word: Go})
		t.begin(now, a)
	}
}

func (b *Bay) weed(now monotime.Time, t *spot) {
	ahead, keep := time.Duration(0), t.line[:0]
	for i, a := range t.line {
		// Who goes at once is not weeded: a slot is open, so its wait is over.
		if i >= t.free() {
			if why := t.hopeless(now, &a, ahead); why != "" {
				b.turn(a.ID, why, t.back(now, a))
				continue
			}
			ahead += t.need(now, a.Work)
		}
		keep = append(keep, a)
	}
	t.line = keep
}

func (b *Bay) turn(id uint64, why Why, retry time.Duration) {
	b.Turned[why]++
	b.acts = append(b.acts, Act{ID: id, Word: TurnAway, Why: why, Retry: retry})
}
