// Command standing measures what an idle deployment costs: real processes on loopback,
// an endpoint's beats at each sidecar and no traffic. It needs Linux and ss.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"cottonarch.example/cottonarch/fleet/process"
)

var app struct {
	Bin       string        `required:"" help:"The cottonarch program."`
	Cores     int           `default:"3" help:"How many cores."`
	Sides     int           `default:"9" help:"How many sidecars."`
	Districts int           `default:"3" help:"How many districts they are spread over."`
	Voters    int           `default:"5" help:"How many cores vote, at most; odd."`
	Keys      int           `default:"0" help:"How many small keys are written first."`
	Settle    time.Duration `default:"12s" help:"How long to wait before measuring."`
	For       time.Duration `default:"20s" help:"How long to measure."`
	Beat      time.Duration `default:"700ms" help:"How often an endpoint beats."`
	Vary      bool          `help:"Let every beat tell another burden."`
	Profile   string        `help:"Folder of processor profiles, taken with perf of one core and one sidecar."`
}

// use is what a process has used so far.
type use struct {
	busy         time.Duration
	wakes, calls int64
}

func read(pid int) (u use, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return u, err
	}
	for _, t := range tasks {
		raw, err := os.ReadFile(t + "/schedstat")
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited, slices int64
		if _, err := fmt.Sscan(string(raw), &ran, &waited, &slices); err != nil {
			return u, err
		}
		u.busy += time.Duration(ran)
		u.wakes += slices
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		name, v, _ := strings.Cut(line, ": ")
		if name == "syscr" || name == "syscw" {
			n, _ := strconv.ParseInt(v, 10, 64)
			u.calls += n
		}
	}
	return u, nil
}

// flow is what went over the kept connections between processes, by the two IPs.
func flow() (map[[2]string]int64, error) {
	raw, err := exec.Command("ss", "-tinH", "state", "established").Output()
	if err != nil {
		return nil, err
	}
	out := map[[2]string]int64{}
	var pair [2]string
	for _, line := range strings.Split(string(raw), "\n") {
		f := strings.Fields(line)
		if len(f) >= 4 && !strings.HasPrefix(line, "\t") && !strings.HasPrefix(line, " \t") {
			from, to := f[len(f)-2], f[len(f)-1]
			if len(f) > 4 {
				from, to = f[2], f[3]
			}
			pair = [2]string{from[:strings.LastIndex(from, ":")], to[:strings.LastIndex(to, ":")]}
			continue
		}
		for _, w := range f {
			if n, ok := strings.CutPrefix(w, "bytes_sent:"); ok {
				v, _ := strconv.ParseInt(n, 10, 64)
				out[pair] += v
			}
		}
	}
	return out, nil
}

func post(method, url string, body any) error {
	raw, _ := json.Marshal(body)
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", url, res.Status)
	}
	return nil
}

func run() error {
	dir, err := os.MkdirTemp("", "standing")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var cores, sides []*process.Process
	var seeds, founders []string
	ip := func(role, n int) string {
		return fmt.Sprintf("127.%d.%d.%d", 10+role, n%app.Districts, 1+n/app.Districts)
	}
	district := func(n int) string { return fmt.Sprintf("d%d", n%app.Districts) }
	for n := range app.Cores {
		a := ip(0, n) + ":7380"
		if len(seeds) < 3 {
			seeds = append(seeds, a)
		}
		if len(founders) < min(app.Voters, app.Cores-1+app.Cores%2) {
			founders = append(founders, a)
		}
	}
	for n := range app.Cores {
		m := process.New(app.Bin, dir, fmt.Sprintf("core%d", n), "core", ip(0, n))
		if err := m.Write(map[string]any{"address": ip(0, n) + ":7380", "district": district(n), "seeds": seeds, "founders": founders, "voters": app.Voters, "data": m.DataDir}); err != nil {
			return err
		}
		cores = append(cores, m)
	}
	for n := range app.Sides {
		m := process.New(app.Bin, dir, fmt.Sprintf("side%d", n), "sidecar", ip(1, n))
		if err := m.Write(map[string]any{"node": fmt.Sprintf("sidecar-somewhere-%d", n), "address": ip(1, n) + ":7380", "caller": ip(1, n) + ":7381", "district": district(n), "seeds": seeds}); err != nil {
			return err
		}
		sides = append(sides, m)
	}
	all := append(append([]*process.Process{}, cores...), sides...)
	defer func() {
		for _, m := range all {
			m.Kill()
		}
	}()
	for _, m := range all {
		if err := m.Start(); err != nil {
			return err
		}
	}
	manifest := map[string]any{"services": map[string]any{"accounts": map[string]any{}}, "ways": map[string]any{"one": map[string]any{"host": "accounts.example", "pathStart": "/", "service": "accounts"}}}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		if err = post("PUT", "http://"+cores[0].IP+":7380/manifest", manifest); err == nil {
			break
		}
		if time.Now().After(until) {
			return err
		}
	}
	for n := range app.Keys {
		if err := post("PUT", fmt.Sprintf("http://%s:7380/keys/key-%d", cores[n%len(cores)].IP, n), map[string]any{"value": "a small value"}); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	for n, m := range sides {
		go func() {
			t := time.NewTicker(app.Beat)
			defer t.Stop()
			for turn := 0; ; turn++ {
				b := map[string]any{"serverId": fmt.Sprintf("i-%08x", n), "service": "accounts", "address": m.IP + ":8080", "state": "alive", "burden": 0.1}
				if app.Vary {
					b["burden"] = float64((turn+n)%5) / 5
				}
				_ = post("POST", "http://"+m.IP+":7380/beat", b)
				select {
				case <-t.C:
				case <-stop:
					return
				}
			}
		}()
	}
	time.Sleep(app.Settle)
	if app.Profile != "" {
		for _, m := range []*process.Process{cores[len(cores)-1], sides[0]} {
			c := exec.Command("perf", "record", "-o", filepath.Join(app.Profile, m.Name+".perf"), "-F", "2000", "-g", "-p", strconv.Itoa(m.PID()), "--", "sleep", fmt.Sprint(app.For.Seconds()))
			if err := c.Start(); err != nil {
				return err
			}
			defer func() { _ = c.Wait() }()
		}
	}
	before := make([]use, len(all))
	for i, m := range all {
		if before[i], err = read(m.PID()); err != nil {
			return err
		}
	}
	sent, err := flow()
	if err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(app.For)
	took := time.Since(began).Seconds()
	then, err := flow()
	if err != nil {
		return err
	}
	type sum struct {
		n           int
		busy, most  float64
		wakes, call float64
	}
	var sums [2]sum
	for i, m := range all {
		u, err := read(m.PID())
		if err != nil {
			return err
		}
		s := &sums[0]
		if i >= len(cores) {
			s = &sums[1]
		}
		part := (u.busy - before[i].busy).Seconds() / took * 100
		s.n++
		s.busy += part
		s.most = max(s.most, part)
		s.wakes += float64(u.wakes-before[i].wakes) / took
		s.call += float64(u.calls-before[i].calls) / took
	}
	var bytes, cross [2]float64
	for pair, n := range then {
		role := strings.HasPrefix(pair[0], "127.11.") || strings.HasPrefix(pair[1], "127.11.")
		if !strings.HasPrefix(pair[0], "127.1") || !strings.HasPrefix(pair[1], "127.1") {
			continue
		}
		at := 0
		if role {
			at = 1
		}
		d := float64(max(0, n-sent[pair])) / took
		bytes[at] += d
		if strings.Split(pair[0], ".")[2] != strings.Split(pair[1], ".")[2] {
			cross[at] += d
		}
	}
	for at, name := range []string{"core", "sidecar"} {
		s := sums[at]
		n := float64(s.n)
		fmt.Printf("%s: %.2f %% of a processor each, %.2f at most; %.0f wake-ups and %.0f reads and writes a second\n", name, s.busy/n, s.most, s.wakes/n, s.call/n)
	}
	fmt.Printf("bytes a second: between cores %.0f (%.0f between districts), of sidecars %.0f (%.0f between districts)\n", bytes[0], cross[0], bytes[1], cross[1])
	return nil
}

func main() {
	k := kong.Parse(&app, kong.Name("standing"), kong.Description("Measures what an idle deployment costs."))
	k.FatalIfErrorf(run())
}
