package plan

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonarch.example/cottonarch/sim/world"
)

func env(n string, d int) int {
	if x, err := strconv.Atoi(os.Getenv(n)); err == nil {
		return x
	}
	return d
}
func TestTry(t *testing.T) {
	if os.Getenv("TRY") == "" {
		t.Skip()
	}
	dep := os.Getenv("DEP")
	if dep == "" {
		dep = "prairie"
	}
	s, n := env("SEED", 1), env("N", 1)
	var wg sync.WaitGroup
	lim := make(chan bool, 8)
	var mu sync.Mutex
	bad := 0
	rules := map[string]int{}
	for i := 0; i < n; i++ {
		wg.Add(1)
		lim <- true
		go func() {
			defer wg.Done()
			q := What{Seed: uint64(s + i), For: time.Duration(env("T", 30)) * time.Second, Burden: 1, Scale: float64(env("SC", 30)) / 100, LastHeavy: true, Links: os.Getenv("LINKS") != "0"}
			if f := os.Getenv("F"); f != "" {
				q.Faults = strings.Split(f, ",")
			}
			switch os.Getenv("BRK") {
			case "gate":
				q.OpenGate = true
			case "reckless":
				q.Reckless = true
			case "forget":
				q.Forget = true
			case "one":
				q.QuorumOf1 = true
			}
			var w *world.World
			w = Simulate(Deployments[dep], q)
			mu.Lock()
			if len(w.Check.Breaches) > 0 {
				bad++
				for _, b := range w.Check.Breaches {
					rules[b.Rule]++
				}
				if bad <= env("SHOW", 4) {
					fmt.Println("SEED", s+i)
					fmt.Println(w.Text())
				}
			} else if n == 1 {
				fmt.Println(w.Text())
			}
			mu.Unlock()
			<-lim
		}()
	}
	wg.Wait()
	fmt.Println("seeds", n, "bad", bad, rules)
}
