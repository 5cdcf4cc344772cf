package run

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// operate offers a manifest every so often, sometimes two at once, sometimes wrong.
func (f *Fleet) operate(ctx context.Context) {
	t := time.NewTicker(f.Deployment.Manifests)
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		mark := fmt.Sprintf("mark-%d", n)
		tree, method, query, bad := f.manifest(mark), "PUT", "", false
		f.mu.Lock()
		top := f.top
		f.mu.Unlock()
		switch n % 6 {
		case 1:
			tree["ways"].(map[string]any)["bad"] = map[string]any{"host": "x", "service": "nobody"}
			bad = true
		case 2:
			name := string(f.Deployment.Services[0].Name)
			tree, method = map[string]any{"services": map[string]any{name: map[string]any{"namespace": mark}}}, "PATCH"
		case 3: // two at once on one base: one winner
			query = fmt.Sprintf("?baseEpoch=%d", top)
			wg.Add(1)
			go func() { defer wg.Done(); f.give(ctx, f.manifest(mark+"b"), "PUT", query, mark+"b", false) }()
		case 4:
			for i := range 3000 {
				tree["ways"].(map[string]any)[fmt.Sprintf("bulk-%d", i)] = map[string]any{"host": fmt.Sprintf("h%d.bulk", i), "service": string(f.Deployment.Services[0].Name)}
			}
		case 5:
			if top > 0 {
				query, bad = fmt.Sprintf("?baseEpoch=%d", top-1), true
			}
		}
		f.give(ctx, tree, method, query, mark, bad)
	}
}

func (f *Fleet) give(ctx context.Context, tree map[string]any, method, query, mark string, bad bool) {
	epoch, err := f.offer(tree, method, query)
	at := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Check.Seen["manifest-turned"]++
	switch {
	case err == nil:
		f.Counts["manifests confirmed"]++
		if bad {
			f.Check.Break(f.at(at), "manifest-turned", "%s was confirmed as epoch %d", mark, epoch)
		}
		if epoch <= f.top && f.Counts["epoch "+fmt.Sprint(epoch)] > 0 {
			f.Check.Break(f.at(at), "number-repeated", "epoch %d was given twice", epoch)
		}
		f.Counts["epoch "+fmt.Sprint(epoch)]++
		f.top = max(f.top, epoch)
		f.inForce(ctx, epoch, at)
	case errors.Is(err, errNo):
		f.Counts["manifests refused"]++
		f.Check.TurnedAway(mark, "no")
	default:
		f.Counts["manifests unknown"]++
	}
}
