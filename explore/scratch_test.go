package explore

import ("testing";"os";"strconv";"time";"fmt"
"cottonarch.example/cottonarch/explore/search"
"cottonarch.example/cottonarch/explore/cluster"
)

func env(k string, d int) int { if v, err := strconv.Atoi(os.Getenv(k)); err == nil { return v }; return d }

func TestScratch(t *testing.T) {
	m := Model(os.Getenv("MODEL"))
	o := Options{Model: m, Members: 3, Keys: env("KEYS",2), Operators: env("OPS",2), Depth: env("DEPTH",6), States: env("STATES",20000), Walks: env("WALKS",0), Steps: env("STEPS",60), Seed: uint64(env("SEED",1)), Break: cluster.Break(os.Getenv("BREAK"))}
	s := o.Settings(m)
	if os.Getenv("NOINST") != "" { s.Instant = false }
	at := time.Now()
	r := search.Run(s.Factory(), o.Bound())
	fmt.Println(r.States, "states", r.Runs, "runs depth", r.Depth, "whole", r.Whole, "walks", r.Walks, r.WalkStates, time.Since(at), r.Taken)
	if r.Breach != nil {
		fmt.Println("BREACH", r.Breach)
		c := s.Factory()()
		for i, x := range r.Trace { fmt.Println(i+1, c.Say(x)); c.Apply(x) }
	}
}
