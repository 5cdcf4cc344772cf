package plan

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestTry(t *testing.T) {
	s, _ := strconv.Atoi(os.Getenv("SEED"))
	n, _ := strconv.Atoi(os.Getenv("N"))
	if n == 0 {
		n = 1
	}
	dep := os.Getenv("DEP")
	if dep == "" {
		dep = "prairie"
	}
	for i := 0; i < n; i++ {
		t0 := time.Now()
		q := What{Seed: uint64(s + i), For: 30 * time.Second, Burden: 1, Scale: 0.3, LastHeavy: true, Links: true}
		if f := os.Getenv("F"); f != "" {
			q.Faults = []string{f}
			if f == "none" {
				q.LastHeavy = false
			}
		}
		w := Simulate(Deployments[dep], q)
		if n == 1 || len(w.Check.Breaches) > 0 {
			fmt.Println("SEED", s+i)
			fmt.Println(w.Text())
		}
		fmt.Println(s+i, len(w.Check.Breaches), time.Since(t0))
	}
}
