package explore

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"cottonarch.example/cottonarch/explore/cluster"
)

func env(k string, d int) int {
	if v, err := strconv.Atoi(os.Getenv(k)); err == nil {
		return v
	}
	return d
}

func TestScratch(t *testing.T) {
	m := Model(os.Getenv("MODEL"))
	o := Options{Model: m, Members: env("MEMBERS", 3), Keys: env("KEYS", 2), Operators: env("OPS", 2), Depth: env("DEPTH", 12), States: env("STATES", 20000), Walks: env("WALKS", 0), Steps: env("STEPS", 60), Seed: uint64(env("SEED", 1)), Break: cluster.Break(os.Getenv("BREAK"))}
	at := time.Now()
	if os.Getenv("QUIET") != "" {
		ps := Run(o)
		p := ps[len(ps)-1]
		fmt.Println(o.Model, o.Break, len(ps), p.Breach, len(p.Trace), time.Since(at))
		return
	}
	for _, p := range Run(o) {
		fmt.Println(p.Model, p.Faults, p.States, "states", p.Runs, "runs depth", p.Depth, "whole", p.Whole, "walks", p.Walks, p.Met, time.Since(at), p.Taken)
		if p.Breach != nil {
			fmt.Println("BREACH", p.Breach)
			c := p.settings.Factory()()
			for i, x := range p.Trace {
				fmt.Println(i+1, c.Say(x))
				c.Apply(x)
			}
		}
	}
}
