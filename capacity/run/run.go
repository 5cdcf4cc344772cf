// Package run measures one size after the other, within bounds of time, memory and
// processes.
package run

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/capacity/load"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/rig"
	"cottonarch.example/cottonarch/capacity/walk"
	"cottonarch.example/cottonarch/kernel/failure"
)

// WalkLoad is the name of the walk among the loads.
const WalkLoad = "walk"

// Boot is what is asked.
type Boot struct {
	Self    []string // the command that runs a part
	Commit  string   // that the program was built from, where the build does not hold it
	Command string   // to be noted with the figures
	Dir     string   // for disk folders; the system's own if empty
	Target  plan.Target
	Sizes   []int
	Loads   []string
	For     time.Duration // the window of each look
	Limit   time.Duration // of the whole
	Memory  float64       // bytes that all processes may take
	Process int           // how many processes there may be
	Say     func(string, ...any)
	Keep    func(*Result) // is given what there is after each size; may be nil
}

// Result is all that was measured, with what is needed to repeat it.
type Result struct {
	Commit     string       `json:"commit"`
	Command    string       `json:"command"` // as it was given, without the program's folder
	Processors int          `json:"processors"`
	Go         string       `json:"go"`
	Target     plan.Target  `json:"target"`
	Sizes      []int        `json:"sizes"`
	Window     string       `json:"window"`
	Points     []load.Point `json:"points"`
	Walk       []walk.Point `json:"walk"`
	// Left names what was not measured, and why.
	Left []string `json:"left,omitempty"`
}

// Check names every fault.
func (b Boot) Check() *failure.Error {
	d := failure.New(failure.BadSettings, "the capacity can't be measured")
	bad := func(path, note string, args ...any) {
		d.Faults = append(d.Faults, failure.Fault{Path: path, Note: fmt.Sprintf(note, args...)})
	}
	last := 0
	for _, n := range b.Sizes {
		if n < 2 || n > 10000 || n < 2*last {
			bad("sizes", "%d: sizes are from 2 to 10000, each at least double the last", n)
		}
		last = n
	}
	if len(b.Sizes) == 0 {
		bad("sizes", "at least one size")
	}
	for _, n := range b.Loads {
		if n != WalkLoad && !load.Known(n) {
			bad("loads", "no load %q; known: %s, %s", n, strings.Join(load.Names, ", "), WalkLoad)
		}
	}
	if b.For < 200*time.Millisecond || b.For > 10*time.Minute {
		bad("for", "must be from 200ms to 10m")
	}
	if len(d.Faults) > 0 {
		return d
	}
	return nil
}

// Half is half of this machine's memory, in bytes.
func Half() float64 {
	raw, err := os.ReadFile("/proc/meminfo")
	if err == nil {
		for line := range strings.Lines(string(raw)) {
			if f := strings.Fields(line); len(f) > 1 && f[0] == "MemTotal:" {
				n, _ := strconv.ParseFloat(f[1], 64)
				return n * 1024 / 2
			}
		}
	}
	return 4 << 30
}

// Commit is the one that this program was built from.
func Commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	rev, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			rev = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = " with changes"
		}
	}
	return rev + dirty
}

// least is the shortest time for which a size is begun.
const least = 3 * time.Second

// Measure measures. What fits in no bound is left out and named.
func Measure(b Boot) (*Result, error) {
	if d := b.Check(); d != nil {
		return nil, d
	}
	out := &Result{Commit: Commit(), Command: b.Command, Processors: runtime.GOMAXPROCS(0), Go: runtime.Version(), Target: b.Target, Sizes: b.Sizes, Window: b.For.String()}
	if b.Commit != "" {
		out.Commit = b.Commit
	}
	end := time.Now().Add(b.Limit)
	until := end
	walks := has(b.Loads, WalkLoad)
	if walks {
		until = until.Add(-time.Duration(len(b.Sizes)) * (b.For + 8*time.Second))
	}
	left := func(n int, why string, args ...any) {
		out.Left = append(out.Left, fmt.Sprintf("%d nodes: %s", n, fmt.Sprintf(why, args...)))
		b.Say("%d nodes: %s", n, fmt.Sprintf(why, args...))
	}
	var memory []float64
	only := len(b.Loads) == 1 && walks
	for i, n := range b.Sizes {
		if only {
			break
		}
		if parts := b.Target.Cores + 1 + n/b.Target.NodesAProcess; parts > b.Process {
			left(n, "would need %d processes, %d may be", parts, b.Process)
			continue
		}
		if i > 0 && len(memory) > 0 {
			if need := memory[len(memory)-1] * float64(n) / float64(b.Sizes[i-1]); need > b.Memory {
				left(n, "would need about %.1f GB, %.1f may be used", need/1e9, b.Memory/1e9)
				continue
			}
		}
		began := time.Now()
		// What the smaller sizes leave goes to the larger.
		share := time.Until(until) / time.Duration(len(b.Sizes)-i)
		if share < least {
			left(n, "no time is left")
			continue
		}
		m, err := one(b, n, began.Add(share), out)
		b.Say("%d nodes: %.1f s, %.2f GB at its peak", n, time.Since(began).Seconds(), m/1e9)
		if err != nil {
			left(n, "%v", err)
			break
		}
		memory = append(memory, m)
		if b.Keep != nil {
			b.Keep(out)
		}
	}
	if walks {
		for i, n := range b.Sizes {
			share := float64(n) / float64(b.Sizes[len(b.Sizes)-1])
			records, ways := int(share*float64(b.Target.Nodes)), int(share*float64(b.Target.Ways))
			rest := time.Until(end) - b.For
			if rest < least {
				out.Left = append(out.Left, fmt.Sprintf("walk %d: no time is left", i+1))
				break
			}
			p, err := walk.Measure(b.Self, b.Dir, b.Target, records, ways, b.For, min(plan.AtMost, rest))
			if err != nil {
				out.Left = append(out.Left, fmt.Sprintf("walk %d: %v", i+1, err))
				break
			}
			b.Say("walk, %d records, %d ways: %d pairs, added p50 %.3f ms, p99 %.3f ms", p.Records, p.Ways, p.Pairs, p.Added["p50"], p.Added["p99"])
			out.Walk = append(out.Walk, p)
		}
	}
	if len(out.Points)+len(out.Walk) == 0 {
		return out, failure.New(failure.Late, "nothing could be measured: %s", strings.Join(out.Left, "; "))
	}
	return out, nil
}

func has(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

// one measures one size and gives the memory of all processes.
func one(b Boot, n int, until time.Time, out *Result) (float64, error) {
	r, err := rig.Up(rig.Boot{Self: b.Self, Dir: b.Dir, Target: b.Target, N: n, Patience: max(5*time.Second, min(plan.AtMost, time.Until(until)))})
	if err != nil {
		return 0, err
	}
	defer r.Down()
	run := &load.Run{Rig: r, For: b.For, Most: plan.AtMost, Until: until}
	err = run.All(b.Loads)
	out.Points = append(out.Points, run.Points...)
	sum := 0.0
	if last, e := r.Read(); e == nil {
		for _, a := range append(append(last.Cores, last.Packs...), last.Alone) {
			sum += a.Spent.Peak
		}
	}
	return sum, err
}

// Loads lists all loads.
func Loads() []string { return append(append([]string{}, load.Names...), WalkLoad) }
