// Package client is a stand-in for the clients of one machine. It checks every
// return against what was asked.
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/standin/endpoint"
	"cottonarch.example/cottonarch/wire/response"
)

// Kind is one kind of request.
type Kind struct {
	Name    string
	Method  string
	Host    string
	Path    string
	Service ident.Service
	Weight  int
}

// Outcome is what the caller was told of one request.
type Outcome string

// The fates.
const (
	Served      Outcome = "served"
	NotExecuted Outcome = "not-run"
	Unknown     Outcome = "unknown"
	Dropped     Outcome = "dropped" // no whole HTTP return
	Wrong       Outcome = "wrong"   // not the return to this request
)

// Result is one line of the caller's book.
type Result struct {
	ID       string
	Kind     *Kind
	Outcome  Outcome
	Status   int
	Note     string
	Start    time.Time
	Duration time.Duration
}

// Log keeps what every caller was told.
type Log struct {
	mu      sync.Mutex
	results []Result
}

// Add writes a line.
func (l *Log) Add(result Result) { l.mu.Lock(); l.results = append(l.results, result); l.mu.Unlock() }

// All reads the book.
func (l *Log) All() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.results...)
}

// Options describes the callers of one machine.
type Options struct {
	Name        string
	SidecarAddr ident.Addr
	Kinds       []Kind
	Rate        float64
	Log         *Log
	Seed        uint64
	Timeout     time.Duration
}

// Run sends at the rate until ctx ends, then waits for what is out.
func Run(ctx context.Context, options Options) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256, IdleConnTimeout: 5 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(options.Seed, 99))
	total := 0
	for _, k := range options.Kinds {
		total += k.Weight
	}
	var pending sync.WaitGroup
	interval := time.Duration(float64(time.Second) / options.Rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			pending.Wait()
			return
		case <-ticker.C:
		}
		draw, kind := rng.IntN(total), &options.Kinds[0]
		for i := range options.Kinds {
			if draw < options.Kinds[i].Weight {
				kind = &options.Kinds[i]
				break
			}
			draw -= options.Kinds[i].Weight
		}
		id := fmt.Sprintf("%s-%d", options.Name, n)
		pending.Add(1)
		go func() {
			defer pending.Done()
			options.Log.Add(Send(client, options, kind, id))
		}()
	}
}

// Send sends one request and judges what came of it.
func Send(client *http.Client, options Options, kind *Kind, id string) Result {
	result := Result{ID: id, Kind: kind, Start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), options.Timeout)
	defer cancel()
	var body io.Reader
	if kind.Method != "GET" {
		body = strings.NewReader(`{"id":"` + id + `"}`)
	}
	request, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+string(options.SidecarAddr)+kind.Path, body)
	if err != nil {
		result.Outcome, result.Note = Dropped, err.Error()
		return result
	}
	request.GetBody = nil
	request.Host = kind.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Caller", options.Name)
	httpResponse, err := client.Do(request)
	result.Duration = time.Since(result.Start)
	if err != nil {
		result.Outcome, result.Note = Dropped, err.Error()
		return result
	}
	data, err := io.ReadAll(httpResponse.Body)
	_ = httpResponse.Body.Close()
	result.Duration = time.Since(result.Start)
	result.Status = httpResponse.StatusCode
	if err != nil {
		result.Outcome, result.Note = Dropped, "cut off: "+err.Error()
		return result
	}
	switch outcome := httpResponse.Header.Get(response.OutcomeHeader); {
	case outcome == string(failure.NotExecuted):
		result.Outcome, result.Note = NotExecuted, string(data)
	case outcome == string(failure.OutcomeUnknown):
		result.Outcome, result.Note = Unknown, string(data)
	default:
		var echo endpoint.Echo
		if json.Unmarshal(data, &echo) != nil || echo.ID != id || echo.Path != kind.Path || echo.Service != kind.Service {
			result.Outcome, result.Note = Wrong, string(data)
		} else {
			result.Outcome = Served
		}
	}
	return result
}
