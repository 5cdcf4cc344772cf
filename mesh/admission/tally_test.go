package admission_test

import "slices"

// tally holds the results of a simulation. possible is the total value of all calls, earned the
// value of the served calls, and penalty the cost of rejections. byRank and windows hold pairs of
// earned and possible value.
type tally struct {
	possible, earned, penalty float64
	byRank                    map[int][2]float64
	windows                   map[int][2]float64
	calls, served             int
	onTime, failed            int
	rejected, clientRetries   int
	arrivals, tries           int
	rejectedLate              int
	crossZoneKB, allKB        float64
	hops                      int
}

func (t *tally) earnedShare() float64 { return t.earned / t.possible }

// score returns the earned share less penalties.
func (t *tally) score() float64 { return (t.earned - t.penalty) / t.possible }

// rank returns the earned share of a rank.
func (t *tally) rank(r int) float64 { x := t.byRank[r]; return x[0] / max(x[1], 1) }

// worstWindows returns the mean earned share of the two worst windows of two seconds each.
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
