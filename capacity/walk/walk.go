// Package walk measures the time that the two sidecars add to a call: each call is made
// once through both and once directly at the endpoint, by the same client, one after the
// other.
package walk

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cottonarch.example/cottonarch/capacity/part"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/rig"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/gate"
)

// Point is one size's walk. Times are in milliseconds; Added is through less direct, pair
// by pair.
type Point struct {
	Records int                `json:"records"`
	Ways    int                `json:"ways"`
	Pairs   int64              `json:"pairs"`
	Failed  int                `json:"failed,omitempty"`
	Added   map[string]float64 `json:"added"`
	Through map[string]float64 `json:"through"`
	Direct  map[string]float64 `json:"direct"`
}

// Quantiles are those that are noted, with their names.
var Quantiles = []struct {
	Name string
	At   float64
}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}}

const fillers = 4

// hist holds from a microsecond to a minute, in nanoseconds.
func hist() *hdrhistogram.Histogram { return hdrhistogram.New(1000, int64(time.Minute), 3) }

func put(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1000, min(int64(d), int64(time.Minute))))
}

func read(h *hdrhistogram.Histogram) map[string]float64 {
	out := map[string]float64{}
	for _, q := range Quantiles {
		out[q.Name] = float64(h.ValueAtPercentile(q.At)) / 1e6
	}
	return out
}

const answer = "walked"

// endpoint answers at once.
func endpoint(ip string) (ident.Addr, *http.Server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", nil, failure.Wrap(err, failure.Internal, "endpoint")
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, answer)
	})}
	go func() { _ = s.Serve(l) }()
	return ident.Addr(l.Addr().String()), s, nil
}

// Measure walks for a while with so many records and ways; patience bounds each wait for
// the mesh to come up.
func Measure(self []string, dir string, t plan.Target, records, ways int, span, patience time.Duration) (Point, error) {
	if t.Services < 2*fillers {
		return Point{}, failure.New(failure.BadSettings, "the walk needs at least %d services", 2*fillers)
	}
	p := Point{Records: records, Ways: max(ways, t.Services)}
	t.Ways, t.Cores = p.Ways, 1
	here := max(1, records/t.Services)
	r, err := rig.Up(rig.Boot{Self: self, Dir: dir, Target: t, N: 2 + fillers, Whole: 2, Patience: patience, Quiet: true, Fill: max(0, records-here-fillers) / fillers})
	if err != nil {
		return p, err
	}
	defer r.Down()
	last := t.Services - 1
	svc, way := t.Service(last), fmt.Sprintf("/part%05d/call", last)
	var beats []gate.Beat
	var want []part.Server
	for i := range here {
		addr, srv, err := endpoint(t.NodeIP(1))
		if err != nil {
			return p, err
		}
		defer func() { _ = srv.Close() }()
		s := part.Server{ID: ident.Server(fmt.Sprintf("walk%05d", i)), Service: svc}
		want, beats = append(want, s), append(beats, gate.Beat{Server: s.ID, Service: svc, Addr: addr, State: gate.Alive, Weight: 1})
	}
	r.Beats(r.Wholes[1].Addr, beats)
	if _, missing, _, err := r.Await(part.Want{Ready: true, Servers: want}, patience).Times(); err != nil || missing > 0 {
		return p, failure.New(failure.Late, "%d nodes did not come to know the walked endpoints: %v", missing, err)
	}
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer c.CloseIdleConnections()
	call := func(addr ident.Addr) (time.Duration, bool) {
		req, err := http.NewRequest(http.MethodGet, "http://"+string(addr)+way, nil)
		if err != nil {
			return 0, false
		}
		req.Host = string(svc)
		began := time.Now()
		res, err := c.Do(req)
		if err != nil {
			return 0, false
		}
		raw, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		return time.Since(began), err == nil && res.StatusCode == http.StatusOK && strings.TrimSpace(string(raw)) == answer
	}
	added, through, direct := hist(), hist(), hist()
	begun := time.Now()
	for n := 0; ; n++ {
		if begun.Add(span).Before(time.Now()) {
			break
		}
		to := []ident.Addr{r.Wholes[0].Caller, beats[n%here].Addr}
		var took [2]time.Duration
		ok := true
		for k := range 2 { // by turns through first and direct first
			i := (k + n) % 2
			d, good := call(to[i])
			took[i], ok = d, ok && good
		}
		if n < 100 { // connections and tables warm up
			begun = time.Now()
			continue
		}
		if !ok {
			p.Failed++
			continue
		}
		put(added, took[0]-took[1])
		put(through, took[0])
		put(direct, took[1])
	}
	p.Pairs, p.Added, p.Through, p.Direct = added.TotalCount(), read(added), read(through), read(direct)
	if p.Pairs == 0 {
		return p, failure.New(failure.BadResponse, "none of %d calls came through", p.Failed)
	}
	return p, nil
}
