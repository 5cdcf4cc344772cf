package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/wire/exchange"
)

// job is one request between the stages. Invariant: turn is closed once, when the
// request may be sent; who waits for it then walks with it.
type job struct {
	call   *path.Call
	began  monotime.Time
	req    exchange.Call
	urgent bool
	turn   chan struct{}
}

// ending is how a walk ended. Invariant: without ret there is d.
type ending struct {
	ret *exchange.Return
	d   *failure.Error
}

// turns is the sending stage: the next one queued is sent while there is room. mu
// is held. What is queued when the duties end is sent as well: a planned stop waits for
// it.
func (s *Sidecar) turns() {
	for {
		j, urgent, ok := s.queue.Take()
		if !ok {
			return
		}
		j.urgent = urgent
		close(j.turn)
	}
}

// walk tries until there is a return, or nothing more may be tried.
func (s *Sidecar) walk(j *job) ending {
	var last *exchange.Return // an endpoint's own word that it failed, while others are tried
	for {
		s.mu.Lock()
		choice := s.path.Next(s.clock(), j.call)
		s.mu.Unlock()
		if choice.Failure != nil {
			return ending{ret: last, d: choice.Failure}
		}
		ret, end := s.try(j, choice)
		s.mu.Lock()
		again := s.path.Ended(s.clock(), j.call, end)
		if end.Verdict != path.Ran && !again {
			d := s.path.Final(j.call)
			s.mu.Unlock()
			return ending{ret: last, d: d}
		}
		s.mu.Unlock()
		if end.Verdict == path.Ran {
			if last = ret; !again {
				return ending{ret: ret}
			}
		}
	}
}

// try sends once: to the gate here, or to that of the endpoint's machine.
func (s *Sidecar) try(j *job, c path.Choice) (*exchange.Return, path.End) {
	until := time.Now().Add(c.Limit)
	w := wanted(s.clock(), j.began, j.call, c)
	if c.Entry.Gate == s.Boot.Addr {
		got := s.pass(until, c.Entry.UID, c.Entry.Service, j.req, c.Repeat, w)
		end := verdict(got.d, got.word)
		end.Told, end.Took = heard(got.told), got.took
		return sized(j, got.ret, end)
	}
	req := j.req
	req.Until, req.Expect = until, true
	// The gate gives up a little before this side does, so that its word is heard.
	limit := strconv.FormatInt((c.Limit - min(c.Limit/10, 20*time.Millisecond)).Milliseconds(), 10)
	req.Set = append(make([]exchange.Field, 0, 8), j.req.Set...)
	req.Set = append(req.Set, exchange.Field{Name: TargetHeader, Value: string(c.Entry.UID)}, exchange.Field{Name: ServiceHeader, Value: string(c.Entry.Service)},
		exchange.Field{Name: LimitHeader, Value: limit}, exchange.Field{Name: WantHeader, Value: w.text()})
	if j.call.Way.Urgent {
		req.Set = append(req.Set, exchange.Field{Name: UrgentHeader, Value: "1"})
	}
	if c.Repeat > 0 {
		req.Set = append(req.Set, exchange.Field{Name: RepeatHeader, Value: strconv.FormatFloat(c.Repeat, 'f', 3, 64)})
	}
	ret, sent, d := s.peers.Do(context.Background(), c.Entry.Gate, req)
	if d != nil {
		if !sent {
			return nil, path.End{Verdict: path.NotRun, Failure: d, Lost: true}
		}
		return nil, path.End{Verdict: path.Unsure, Failure: d, Lost: d.Kind == failure.LostResponse}
	}
	return read(j, ret)
}

// headBytes is about what the heads of a request and its return take between sidecars.
const headBytes = 800

// sized adds what a return itself tells of its end.
func sized(j *job, ret *exchange.Return, end path.End) (*exchange.Return, path.End) {
	if ret != nil {
		end.Bad, end.Size = ret.Status >= 500, int64(len(j.req.Body)+len(ret.Body)+headBytes)
	}
	return ret, end
}

// read tells a gate's own word from an endpoint's return that it passes on.
func read(j *job, ret *exchange.Return) (*exchange.Return, path.End) {
	word := ret.Header.Get(GateHeader)
	told := heard(ret.Header.Get(LoadReportHeader))
	if word == gateReturn {
		micro, _ := strconv.ParseInt(ret.Header.Get(TookHeader), 10, 64)
		return sized(j, ret, path.End{Verdict: path.Ran, Told: told, Took: time.Duration(max(0, micro)) * time.Microsecond})
	}
	d := &failure.Error{}
	if _, known := verdicts[word]; known && j.req.Method == http.MethodHead {
		d = bodiless(word)
	} else if err := json.Unmarshal(ret.Body, d); err != nil || d.Kind == "" || word == "" {
		return nil, path.End{Verdict: path.Unsure, Failure: failure.Unsure(failure.BadResponse, "the gate's return can't be read")}
	}
	end := verdict(d, word)
	end.Told = told
	return nil, end
}

// verdicts says what each word of a gate means.
var verdicts = map[string]path.End{
	gateReturn: {Verdict: path.Ran},
	gateTurned: {Verdict: path.NotRun, Turned: true},
	gateNoRoom: {Verdict: path.NotRun, Turned: true, Shed: true},
	gateShed:   {Verdict: path.NotRun, Arrived: true},
	gateUnsure: {Verdict: path.Unsure},
}

func verdict(d *failure.Error, word string) path.End {
	end, ok := verdicts[word]
	if !ok {
		end = verdicts[gateUnsure]
	}
	end.Failure = d
	return end
}
