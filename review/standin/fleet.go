package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the sites, as their settings files give them.
const (
	drainS = 2 * time.Second
	graceS = 6 * time.Second
)

// record is the record of a case: what was sent, answered and run, in the order of time.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{start: time.Now(), file: file}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format, args...)
	fmt.Fprintln(r.file)
}

// at is a time as the record shows it.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// machine is one machine of the fleet with its process.
type machine struct {
	name, ip, zone, service string
	core                    bool
	settings                string
	cmd                     *exec.Cmd
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir      string
	net      string // the first three parts of all addresses
	port     int    // of admin; the other ports follow it
	rec      *record
	cores    []*machine
	sidecars []*machine
	client   *http.Client
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	killAll()
	os.Exit(2)
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
	folders   []string // temporary ones
)

// killAll ends every process that was started, and removes the temporary folders unless KEEP is set.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, cmd := range started {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	started = nil
	if os.Getenv("KEEP") != "" {
		return
	}
	for _, folder := range folders {
		_ = os.RemoveAll(folder)
	}
}

// newFleet chooses addresses and ports that are free.
func newFleet(rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	folders = append(folders, dir)
	for range 50 {
		f := &fleet{
			dir: dir, rec: rec, port: 20000 + rand.IntN(10000),
			net:    fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250)),
			client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second},
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.net, f.port))
		if err == nil {
			_ = l.Close()
			return f
		}
	}
	cannotRun("no free port")
	return nil
}

func (f *fleet) addCore(zone string) *machine {
	m := &machine{name: fmt.Sprintf("core-%s-%d", zone, len(f.cores)+1), zone: zone, core: true}
	m.ip = fmt.Sprintf("%s.%d", f.net, 1+len(f.cores))
	f.cores = append(f.cores, m)
	return m
}

func (f *fleet) addSidecar(zone, service string) *machine {
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, len(f.sidecars)+1), zone: zone, service: service}
	m.ip = fmt.Sprintf("%s.%d", f.net, 101+len(f.sidecars))
	f.sidecars = append(f.sidecars, m)
	return m
}

func (f *fleet) admin(m *machine) string     { return fmt.Sprintf("%s:%d", m.ip, f.port) }
func (f *fleet) readiness(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.port+1) }
func (f *fleet) incoming(m *machine) string  { return fmt.Sprintf("%s:%d", m.ip, f.port+2) }
func (f *fleet) outgoing(m *machine) string  { return fmt.Sprintf("%s:%d", m.ip, f.port+3) }
func (f *fleet) app(m *machine) string       { return fmt.Sprintf("%s:%d", m.ip, f.port+4) }

// writeSettings writes the settings file of a machine's process, as the platform does.
func (f *fleet) writeSettings(m *machine, firstBoot bool) {
	zones := map[string]string{}
	for _, other := range append(append([]*machine{}, f.cores...), f.sidecars...) {
		zones[other.zone] = "region-1"
	}
	seeds := []string{}
	for _, c := range f.cores {
		seeds = append(seeds, f.admin(c))
	}
	settings := map[string]any{
		"nodeName": m.name, "ip": m.ip, "zone": m.zone, "region": "region-1", "zones": zones,
		"sparePorts": []int{f.port + 10, f.port + 25}, "seedNodes": seeds[:min(3, len(seeds))],
		"firstBoot": firstBoot, "lossCounts": m.core,
		"lookupSource": "local_file", "entryKind": "local_file", "heartbeatS": 1500,
		"promises": []string{"base", "drain", "config", "cost", "retry", "recover", "coord"},
		"canLose":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedDelayS": 3, "reuseAfterS": 2, "inTouchS": 3000, "ackS": 4000, "catchUpS": 4, "drainS": 2000, "graceS": 6,
			"lostSlackS": 200, "applyS": 2000, "downgradeS": 250, "stretchS": 5000, "retryRatio": 0.2, "retryWindowS": 10,
			"retryExtra": 56, "recoveryS": 15, "historyS": 20, "releaseS": 1500,
		},
	}
	limits := map[string]any{"cpuPart": 0.48, "cores": 1, "memoryMb": 280, "fileHandles": 4096, "linkMbps": 1000.0, "diskMb": 256}
	settings["limits"] = limits
	if m.core {
		settings["role"], settings["machineClass"], settings["serves"] = "registrar", "core", []string{"control"}
		settings["bind"] = map[string]string{"admin": f.admin(m)}
		settings["dataFolder"] = filepath.Join(f.dir, m.name+"-data")
	} else {
		limits["cpuPart"], limits["memoryMb"], limits["fileHandles"], limits["diskMb"] = 0.32, memoryMb, 4100, 0
		settings["role"], settings["machineClass"], settings["serves"] = "companion", "sidecar", []string{"sidecar"}
		settings["bind"] = map[string]string{
			"incoming": f.incoming(m), "outgoing": f.outgoing(m), "readiness": f.readiness(m), "admin": f.admin(m),
		}
		settings["dataFolder"], settings["appAddr"], settings["service"] = nil, f.app(m), m.service
	}
	data, _ := json.MarshalIndent(settings, "", " ")
	m.settings = filepath.Join(f.dir, m.name+".json")
	if err := os.WriteFile(m.settings, data, 0o644); err != nil {
		cannotRun("%v", err)
	}
}

// start starts a machine's process with the command of the deploy file.
func (f *fleet) start(m *machine, firstBoot bool) {
	f.writeSettings(m, firstBoot)
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	m.cmd = exec.Command("target/cottonarch", "platform")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "COTTONARCH_CONFIG=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		cannotRun("start %s: %v", m.name, err)
	}
	startedMu.Lock()
	started = append(started, m.cmd)
	startedMu.Unlock()
	f.rec.line("started %s (%s)", m.name, m.ip)
}

func (f *fleet) startAll() {
	for _, m := range append(append([]*machine{}, f.cores...), f.sidecars...) {
		f.start(m, true)
	}
}

// stop ends the fleet.
func (f *fleet) stop() { killAll() }

// ready asks a sidecar's readiness address.
func (f *fleet) ready(m *machine) bool {
	resp, err := f.client.Get("http://" + f.readiness(m) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, m := range f.sidecars {
		for !f.ready(m) {
			if time.Now().After(deadline) {
				cannotRun("%s does not become ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// way is one route of a configuration.
type way struct {
	name, host, prefix, repeat, service string
	timeoutMs                           int
}

func configuration(version int, ways []way, services ...string) map[string]any {
	routes, targets := map[string]any{}, map[string]any{}
	for _, w := range ways {
		routes[w.name] = map[string]any{
			"host": w.host, "pathStart": w.prefix, "repeat": w.repeat, "timeoutMs": w.timeoutMs, "aimMs": 250,
			"rank": 1, "service": w.service, "tries": 2,
		}
	}
	for _, s := range services {
		targets[s] = map[string]any{"checkPath": "/health", "connections": 110, "protocol": "h1", "encrypted": false}
	}
	return map[string]any{
		"release": version, "ways": routes, "services": targets,
		"limits": map[string]any{"headBytes": 16384, "bodyBytes": 67108864, "headMs": 3000, "idleMs": 15000},
	}
}

// putConfig sends a configuration to the cores in turn until one gives a clear answer.
func (f *fleet) putConfig(version, base int, config map[string]any, within time.Duration) (status int) {
	body, _ := json.Marshal(config)
	deadline := time.Now().Add(within)
	for n := 0; time.Now().Before(deadline); n++ {
		request, _ := http.NewRequest(http.MethodPut, "http://"+f.admin(f.cores[n%len(f.cores)])+"/config", bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("If-Match", fmt.Sprint(base))
		resp, err := f.client.Do(request)
		if err == nil {
			data, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode < 500 {
				f.rec.line("configuration %d on %d: %d %.80s", version, base, resp.StatusCode, data)
				return resp.StatusCode
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}
