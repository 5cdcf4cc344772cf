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

// Fate is what the caller was told of one request.
type Fate string

// The fates.
const (
	Served  Fate = "served"
	NotRun  Fate = "not-run"
	Unknown Fate = "unknown"
	Dropped Fate = "dropped" // no whole HTTP return
	Wrong   Fate = "wrong"   // not the return to this request
)

// Told is one line of the caller's book.
type Told struct {
	ID    string
	Kind  *Kind
	Fate  Fate
	Code  int
	Note  string
	Began time.Time
	Took  time.Duration
}

// Book keeps what every caller was told.
type Book struct {
	mu  sync.Mutex
	all []Told
}

// Add writes a line.
func (b *Book) Add(t Told) { b.mu.Lock(); b.all = append(b.all, t); b.mu.Unlock() }

// All reads the book.
func (b *Book) All() []Told { b.mu.Lock(); defer b.mu.Unlock(); return append([]Told(nil), b.all...) }

// Boot describes the callers of one machine.
type Boot struct {
	Name  string
	Addr  ident.Addr
	Kinds []Kind
	Rate  float64
	Book  *Book
	Seed  uint64
	Limit time.Duration
}

// Run sends at the rate until ctx ends, then waits for what is out.
func Run(ctx context.Context, b Boot) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256, IdleConnTimeout: 5 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(b.Seed, 99))
	total := 0
	for _, k := range b.Kinds {
		total += k.Weight
	}
	var out sync.WaitGroup
	gap := time.Duration(float64(time.Second) / b.Rate)
	t := time.NewTicker(gap)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			out.Wait()
			return
		case <-t.C:
		}
		x, kind := rng.IntN(total), &b.Kinds[0]
		for i := range b.Kinds {
			if x < b.Kinds[i].Weight {
				kind = &b.Kinds[i]
				break
			}
			x -= b.Kinds[i].Weight
		}
		id := fmt.Sprintf("%s-%d", b.Name, n)
		out.Add(1)
		go func() {
			defer out.Done()
			b.Book.Add(One(client, b, kind, id))
		}()
	}
}

// One sends one request and judges what came of it.
func One(client *http.Client, b Boot, k *Kind, id string) Told {
	told := Told{ID: id, Kind: k, Began: time.Now()}
	ctx, stop := context.WithTimeout(context.Background(), b.Limit)
	defer stop()
	var body io.Reader
	if k.Method != "GET" {
		body = strings.NewReader(`{"id":"` + id + `"}`)
	}
	req, err := http.NewRequestWithContext(ctx, k.Method, "http://"+string(b.Addr)+k.Path, body)
	if err != nil {
		told.Fate, told.Note = Dropped, err.Error()
		return told
	}
	req.GetBody = nil
	req.Host = k.Host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Caller", b.Name)
	res, err := client.Do(req)
	told.Took = time.Since(told.Began)
	if err != nil {
		told.Fate, told.Note = Dropped, err.Error()
		return told
	}
	data, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	told.Took = time.Since(told.Began)
	told.Code = res.StatusCode
	if err != nil {
		told.Fate, told.Note = Dropped, "cut off: "+err.Error()
		return told
	}
	switch fate := res.Header.Get(response.FateHeader); {
	case fate == string(failure.NotExecuted):
		told.Fate, told.Note = NotRun, string(data)
	case fate == string(failure.OutcomeUnknown):
		told.Fate, told.Note = Unknown, string(data)
	default:
		var e endpoint.Echo
		if json.Unmarshal(data, &e) != nil || e.ID != id || e.Path != k.Path || e.Service != k.Service {
			told.Fate, told.Note = Wrong, string(data)
		} else {
			told.Fate = Served
		}
	}
	return told
}
