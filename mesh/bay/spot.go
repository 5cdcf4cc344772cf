package bay

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/burden"
)

const (
	// memory is how many runs an estimate leans on, and ills those of the part that fails.
	memory = 24
	ills   = 16
	// stall is how many times its expected work what is at the endpoint may have been
	// there, on the mean, before the endpoint counts as slower than it was.
	stall = 2.5
	// paceMost bounds what an estimate may say.
	paceMost = 50
	// slop is how late a look may come at the end of the time in which turning away is free.
	slop = 3 * time.Millisecond
)

// spot is one endpoint. Invariants: no more than slots and Extra are at it while slots are
// known; line is in order of rank, then aim; who is in line is not at the endpoint.
type spot struct {
	set   *Settings
	slots int
	cold  monotime.Time
	line  []Ask
	hand  []held
	// took over work is the pace; both fade by one in memory with each run. each is the
	// mean time of a run of unknown work.
	took, work float64
	each       float64
	ill        float64
	trial      monotime.Time
}

type held struct {
	id   uint64
	work time.Duration
	at   monotime.Time
}

func newSpot(s *Settings) *spot {
	start := float64(s.Unknown) * memory / 4 // what is not known weighs as a few runs
	return &spot{set: s, took: start, work: start, each: float64(s.Unknown)}
}

// limit is how many may be at the endpoint; 0 is no limit.
func (t *spot) limit() int {
	if t.slots == 0 {
		return 0
	}
	return t.slots + t.set.Extra
}

func (t *spot) open() bool { return t.slots == 0 || len(t.hand) < t.limit() }

// free is how many more may go at once.
func (t *spot) free() int {
	if t.slots == 0 {
		return len(t.line) + 1
	}
	return max(0, t.limit()-len(t.hand))
}

func (t *spot) room() int { return t.slots * t.set.Queue }

// pace is how many times as long the endpoint takes as the service's mean one, its start
// aside. What has long been at it and has not come back counts too.
func (t *spot) pace(now monotime.Time) float64 {
	p := t.took / t.work
	if len(t.hand) < 2 {
		return p
	}
	age, want := time.Duration(0), time.Duration(0)
	for _, h := range t.hand {
		age += now.Since(h.at)
		want += h.work
	}
	if full := float64(want) * p * t.chill(now) * stall; float64(age) > full && full > 0 {
		p *= float64(age) / full
	}
	return min(p, paceMost)
}

// chill is how many times as long it takes since it has just started.
func (t *spot) chill(now monotime.Time) float64 {
	if t.cold.After(now) {
		return max(t.set.Cold, 1)
	}
	return 1
}

// size is the work of a request, also of one that is not known.
func (t *spot) size(work time.Duration) time.Duration {
	if work > 0 {
		return work
	}
	return time.Duration(t.each * t.work / t.took)
}

// need is how long a request will take here.
func (t *spot) need(now monotime.Time, work time.Duration) time.Duration {
	return time.Duration(float64(t.size(work)) * t.pace(now) * t.chill(now))
}

// wait is how long one waits that has ahead of work before it in line. Invariant: 0 while
// a slot is free.
func (t *spot) wait(now monotime.Time, ahead time.Duration) time.Duration {
	if t.slots == 0 || len(t.hand) < t.slots {
		return 0
	}
	sum := time.Duration(0)
	for _, h := range t.hand {
		sum += h.work
	}
	// The mean of what is at the endpoint stands for the turn of the next one; those
	// beyond its slots go first.
	turn := float64(sum) / float64(len(t.hand)) * float64(len(t.hand)-t.slots+1) * t.pace(now) * t.chill(now)
	return (time.Duration(turn) + ahead) / time.Duration(t.slots)
}

// ahead is the work that goes before a request that comes now.
func (t *spot) ahead(now monotime.Time, a Ask) (sum time.Duration) {
	p := t.pace(now) * t.chill(now)
	for _, x := range t.line[:t.place(a)] {
		sum += t.size(x.Work)
	}
	return time.Duration(float64(sum) * p)
}

func before(a, b Ask) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.aim() < b.aim()
}

func (a *Ask) aim() monotime.Time {
	if a.Aim == 0 {
		return a.Until
	}
	return a.Aim
}

// place is where a request stands in line: behind its like.
func (t *spot) place(a Ask) int {
	i, _ := slices.BinarySearchFunc(t.line, a, func(x, y Ask) int {
		if before(y, x) {
			return 1
		}
		return -1
	})
	return i
}

func (t *spot) put(a Ask) { t.line = slices.Insert(t.line, t.place(a), a) }

// judge says why a request that comes now is to be turned away, if it is.
func (t *spot) judge(now monotime.Time, a Ask) (Why, time.Duration) {
	if t.slots == 0 {
		return "", 0
	}
	work := t.need(now, a.Work)
	if now.Add(work / 4).After(a.Until) {
		return Late, t.set.RetryLeast
	}
	if !a.Must {
		if t.sick(a.Peers) {
			if t.trial.After(now) {
				return Ill, t.set.RetryLeast
			}
			t.trial = now.Add(t.set.Trial)
			return "", 0
		}
		// With nothing at it one goes all the same, or nothing would ever be learnt.
		if len(t.hand) > 0 && t.pace(now) > 2 && t.misses(now, &a, work) {
			return Slow, t.set.RetryLeast
		}
	}
	if t.free() > len(t.line) {
		return "", 0
	}
	if why := t.hopeless(now, &a, t.ahead(now, a)); why != "" {
		return why, t.back(now, a)
	}
	if len(t.line) >= t.room() && !before(a, t.line[len(t.line)-1]) {
		return Busy, t.back(now, a)
	}
	return "", 0
}

// misses tells whether a request that begins so much later would miss its aim.
func (t *spot) misses(now monotime.Time, a *Ask, later time.Duration) bool {
	return now.Add(later).After(a.aim())
}

// hopeless says why one that has ahead of work before it is not to wait any longer.
// While it may be turned away at no price it is once its aim would be missed; after that
// only when its time would be over, or its aim is.
func (t *spot) hopeless(now monotime.Time, a *Ask, ahead time.Duration) Why {
	wait, work := t.wait(now, ahead), t.need(now, a.Work)
	switch {
	case now.Add(work / 4).After(a.Until), now >= a.aim():
		return Late
	case a.Early.Add(slop) >= now && t.misses(now, a, wait+time.Duration(float64(work)*t.set.Margin)):
		return Busy
	case now.Add(wait + work/4).After(a.Until), t.misses(now, a, wait):
		return Busy
	}
	return ""
}

// look is when a waiting request must be looked at again: at the end of the time in which
// it may be turned away at no price, and when it is late.
func (t *spot) look(now monotime.Time, a *Ask) monotime.Time {
	at := min(a.aim(), a.Until.Add(-t.need(now, a.Work)/4))
	if a.Early.After(now) {
		at = min(at, a.Early)
	}
	return at
}

// back is when a request that was turned away may come back: when what waits now has
// gone. The ends of many are spread by their names, so that they don't come together.
func (t *spot) back(now monotime.Time, a Ask) time.Duration {
	sum := time.Duration(0)
	for _, x := range t.line {
		sum += t.size(x.Work)
	}
	w := t.wait(now, time.Duration(float64(sum)*t.pace(now)*t.chill(now)))
	part := (a.ID * 0x9e3779b97f4a7c15) >> 56 // 0 to 255
	return min(max(w*time.Duration(192+part/2)/256, t.set.RetryLeast), t.set.RetryMost)
}

// next takes who goes now. While few wait it is, of those who can still be in time, the one
// with the least time to spare, unless somebody of a higher rank would miss an aim for it.
// Otherwise it is the first in line who can be in time, and if nobody can, the first.
func (t *spot) next(now monotime.Time) Ask {
	p := t.pace(now) * t.chill(now)
	need := func(a *Ask) time.Duration { return time.Duration(float64(t.size(a.Work)) * p) }
	first, at, least := -1, -1, time.Duration(0)
	for i := range t.line {
		spare := t.line[i].aim().Since(now) - need(&t.line[i])
		if spare < 0 {
			continue
		}
		if first < 0 {
			first = i
		}
		if at < 0 || spare < least {
			at, least = i, spare
		}
	}
	if at > first && (len(t.line) > t.set.Yield*t.slots || !t.yields(now, at, need)) {
		at = first
	}
	at = max(at, 0)
	a := t.line[at]
	t.line = slices.Delete(t.line, at, at+1)
	return a
}

// yields tells whether all of a higher rank than one in line can let it go first.
func (t *spot) yields(now monotime.Time, at int, need func(*Ask) time.Duration) bool {
	ahead := need(&t.line[at])
	for i := range t.line[:at] {
		a := &t.line[i]
		if a.Rank == t.line[at].Rank {
			break
		}
		own := need(a)
		if t.misses(now, a, ahead/time.Duration(t.slots)+own*3/2) {
			return false
		}
		ahead += own
	}
	return true
}

// verdicts is what each end tells of the endpoint's health; Over tells nothing.
var verdicts = map[End]float64{Served: 0, Failed: 1}

func (t *spot) begin(now monotime.Time, a Ask) {
	t.hand = append(t.hand, held{a.ID, t.size(a.Work), now})
}

func (t *spot) done(now monotime.Time, id uint64, end End, took time.Duration) {
	i := slices.IndexFunc(t.hand, func(h held) bool { return h.id == id })
	if i < 0 {
		return
	}
	h := t.hand[i]
	t.hand = slices.Delete(t.hand, i, i+1)
	if x, tells := verdicts[end]; tells {
		t.ill += (x - t.ill) / ills
	}
	x := float64(took) / t.chill(now)
	// How soon it failed says nothing of its work; but what was given up late would have
	// taken longer still.
	if took <= 0 || end == Failed || end == Over && x <= float64(h.work)*t.took/t.work {
		return
	}
	t.each += (min(x, 8*t.each) - t.each) / memory
	t.took += min(x, 8*paceMost*float64(h.work)) - t.took/memory
	t.work += float64(h.work) - t.work/memory
}

// sick tells whether it fails more than its peers do.
func (t *spot) sick(peers float64) bool { return t.ill > t.set.IllMost+1.5*peers }

func (t *spot) burden(now monotime.Time) burden.Burden {
	sum := time.Duration(0)
	for _, x := range t.line {
		sum += t.size(x.Work)
	}
	p := t.pace(now) * t.chill(now)
	return burden.Burden{Hand: len(t.hand), Wait: len(t.line), Slots: t.slots, Pace: p, Ill: t.ill,
		Drain: t.wait(now, time.Duration(float64(sum)*p))}
}
