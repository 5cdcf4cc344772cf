package run

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// proposeConfigs offers a manifest every so often, sometimes two at once, sometimes wrong.
func (f *Fleet) proposeConfigs(ctx context.Context) {
	ticker := time.NewTicker(f.Deployment.ConfigInterval)
	defer ticker.Stop()
	var concurrent sync.WaitGroup
	defer concurrent.Wait()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		marker := fmt.Sprintf("mark-%d", n)
		config, method, query, invalid := f.newConfig(marker), "PUT", "", false
		f.mu.Lock()
		newest := f.newestRevision
		f.mu.Unlock()
		switch n % 6 {
		case 1:
			config["ways"].(map[string]any)["bad"] = map[string]any{"host": "x", "service": "nobody"}
			invalid = true
		case 2:
			name := string(f.Deployment.Services[0].Name)
			config, method = map[string]any{"services": map[string]any{name: map[string]any{"namespace": marker}}}, "PATCH"
		case 3: // two at once on one base: one winner
			query = fmt.Sprintf("?baseEpoch=%d", newest)
			concurrent.Add(1)
			go func() {
				defer concurrent.Done()
				f.proposeAndJudge(ctx, f.newConfig(marker+"b"), "PUT", query, marker+"b", false)
			}()
		case 4:
			for i := range 3000 {
				config["ways"].(map[string]any)[fmt.Sprintf("bulk-%d", i)] = map[string]any{"host": fmt.Sprintf("h%d.bulk", i), "service": string(f.Deployment.Services[0].Name)}
			}
		case 5:
			if newest > 0 {
				query, invalid = fmt.Sprintf("?baseEpoch=%d", newest-1), true
			}
		}
		f.proposeAndJudge(ctx, config, method, query, marker, invalid)
	}
}

func (f *Fleet) proposeAndJudge(ctx context.Context, config map[string]any, method, query, marker string, invalid bool) {
	revision, err := f.propose(config, method, query)
	confirmedAt := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Observed["manifest-turned"]++
	switch {
	case err == nil:
		f.Counts["manifests confirmed"]++
		if invalid {
			f.Checker.Violate(f.sinceStart(confirmedAt), "manifest-turned", "%s was confirmed as epoch %d", marker, revision)
		}
		if revision <= f.newestRevision && f.Counts["epoch "+fmt.Sprint(revision)] > 0 {
			f.Checker.Violate(f.sinceStart(confirmedAt), "number-repeated", "epoch %d was given twice", revision)
		}
		f.Counts["epoch "+fmt.Sprint(revision)]++
		f.newestRevision = max(f.newestRevision, revision)
		f.trackRevision(ctx, revision, confirmedAt)
	case errors.Is(err, errRejected):
		f.Counts["manifests refused"]++
		f.Checker.ProposalRejected(marker, "no")
	default:
		f.Counts["manifests unknown"]++
	}
}
