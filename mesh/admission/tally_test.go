package admission_test

import "slices"

// tally is the result of a simulation. Possible is the worth of all calls, earned that of those
// served, and penalty the cost of rejections; byRank and windows hold what was earned and possible.
type tally struct {
	possible, earned, penalty float64
	byRank                    map[int][2]float64
	windows                   map[int][2]float64
	calls, served             int
	onTime, failed            int
	rejected, returned        int
	arrivals, tries           int
	rejectedLate              int
	crossKB, allKB            float64
	hops                      int
}

func (t *tally) earnedShare() float64 { return t.earned / t.possible }

// score is the earned share less penalties.
func (t *tally) score() float64 { return (t.earned - t.penalty) / t.possible }

// rank is the earned share of a rank.
func (t *tally) rank(r int) float64 { x := t.byRank[r]; return x[0] / max(x[1], 1) }

// worstWindows is the mean of the two worst windows of two seconds.
func (t *tally) worstWindows() float64 {
	var all []float64
	for _, x := range t.windows {
		if x[1] > 20 {
			all = append(all, x[0]/x[1])
		}
	}
	slices.Sort(all)
	return (all[0] + all[1]) / 2
}
