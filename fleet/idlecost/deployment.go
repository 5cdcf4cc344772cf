package idlecost

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/fleet/process"
)

// Addresses of the processes: 127.(10 for cores, 11 for sidecars).ZONE.N, on fixed ports.
const (
	coreOctet    = 10
	sidecarOctet = 11
	meshPort     = ":7380"
	clientPort   = ":7381"
	endpointPort = ":8080"
)

const (
	seedCount      = 3
	configTimeout  = 20 * time.Second       // until a core takes the configuration
	configInterval = 200 * time.Millisecond // between tries
	requestTimeout = 30 * time.Second       // of one request to a daemon
	service        = "accounts"
	steadyLoad     = 0.1 // that heartbeats report unless it varies
	loadSteps      = 5   // different loads that varying heartbeats report
)

// deployment is the running processes.
type deployment struct {
	options    Options
	dir        string
	cores      []*process.Process
	sidecars   []*process.Process
	closed     chan struct{}
	heartbeats sync.WaitGroup
}

// startDeployment starts all processes. The deployment that it returns is to be stopped even
// after an error.
func startDeployment(options Options) (*deployment, error) {
	d := &deployment{options: options, closed: make(chan struct{})}
	var err error
	if d.dir, err = os.MkdirTemp("", "idlecost"); err != nil {
		return d, failure.Wrap(err, failure.Internal, "folder")
	}
	seeds := d.coreAddrs(seedCount)
	if err := d.prepareCores(seeds); err != nil {
		return d, err
	}
	if err := d.prepareSidecars(seeds); err != nil {
		return d, err
	}
	for _, proc := range d.processes() {
		if err := proc.Start(); err != nil {
			return d, err
		}
	}
	return d, nil
}

// prepareCores writes the cores' settings files. The founders are an odd number of cores.
func (d *deployment) prepareCores(seeds []string) error {
	founders := d.coreAddrs(min(d.options.Voters, d.options.Cores-1+d.options.Cores%2))
	for i := range d.options.Cores {
		core := process.New(d.options.Binary, d.dir, fmt.Sprintf("core%d", i), "core", d.ip(coreOctet, i))
		d.cores = append(d.cores, core)
		settings := process.CoreSettings{
			Address:  core.IP + meshPort,
			Zone:     d.zone(i),
			Seeds:    seeds,
			Founders: founders,
			Voters:   d.options.Voters,
			DataDir:  core.DataDir,
		}
		if err := core.WriteSettings(settings); err != nil {
			return err
		}
	}
	return nil
}

// prepareSidecars writes the sidecars' settings files.
func (d *deployment) prepareSidecars(seeds []string) error {
	for i := range d.options.Sidecars {
		sidecar := process.New(d.options.Binary, d.dir, fmt.Sprintf("side%d", i), "sidecar", d.ip(sidecarOctet, i))
		d.sidecars = append(d.sidecars, sidecar)
		settings := process.SidecarSettings{
			Node:       fmt.Sprintf("sidecar-somewhere-%d", i),
			Address:    sidecar.IP + meshPort,
			ClientAddr: sidecar.IP + clientPort,
			Zone:       d.zone(i),
			Seeds:      seeds,
		}
		if err := sidecar.WriteSettings(settings); err != nil {
			return err
		}
	}
	return nil
}

// ip is the address of the i-th process of a role.
func (d *deployment) ip(octet, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", octet, i%d.options.Zones, 1+i/d.options.Zones)
}

func (d *deployment) zone(i int) string { return fmt.Sprintf("d%d", i%d.options.Zones) }

// coreAddrs lists the addresses of the first cores, at most count.
func (d *deployment) coreAddrs(count int) []string {
	var addrs []string
	for i := range min(count, d.options.Cores) {
		addrs = append(addrs, d.ip(coreOctet, i)+meshPort)
	}
	return addrs
}

// processes lists the cores, then the sidecars.
func (d *deployment) processes() []*process.Process {
	return append(append([]*process.Process{}, d.cores...), d.sidecars...)
}

type serviceConfig struct{}

type routeConfig struct {
	Host      string `json:"host"`
	PathStart string `json:"pathStart"`
	Service   string `json:"service"`
}

type meshConfig struct {
	Services map[string]serviceConfig `json:"services"`
	Routes   map[string]routeConfig   `json:"ways"`
}

// proposeConfig proposes a small configuration until a core has taken it.
func (d *deployment) proposeConfig() error {
	config := meshConfig{
		Services: map[string]serviceConfig{service: {}},
		Routes:   map[string]routeConfig{"one": {Host: "accounts.example", PathStart: "/", Service: service}},
	}
	for deadline := time.Now().Add(configTimeout); ; time.Sleep(configInterval) {
		err := send(http.MethodPut, "http://"+d.cores[0].IP+meshPort+"/manifest", config)
		if err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

// writeKeys writes the small keys, spread over the cores.
func (d *deployment) writeKeys() error {
	type keyRequest struct {
		Value string `json:"value"`
	}
	for i := range d.options.Keys {
		url := fmt.Sprintf("http://%s%s/keys/key-%d", d.cores[i%len(d.cores)].IP, meshPort, i)
		if err := send(http.MethodPut, url, keyRequest{"a small value"}); err != nil {
			return err
		}
	}
	return nil
}

// heartbeat is what an endpoint sends to its sidecar.
type heartbeat struct {
	Server  string  `json:"serverId"`
	Service string  `json:"service"`
	Addr    string  `json:"address"`
	State   string  `json:"state"`
	Load    float64 `json:"burden"`
}

// startHeartbeats starts sending the heartbeats of one endpoint at each sidecar, until stop.
func (d *deployment) startHeartbeats() {
	for i, sidecar := range d.sidecars {
		d.heartbeats.Go(func() { d.sendHeartbeats(i, sidecar) })
	}
}

func (d *deployment) sendHeartbeats(i int, sidecar *process.Process) {
	ticker := time.NewTicker(d.options.HeartbeatInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		h := heartbeat{
			Server:  fmt.Sprintf("i-%08x", i),
			Service: service,
			Addr:    sidecar.IP + endpointPort,
			State:   "alive",
			Load:    steadyLoad,
		}
		if d.options.VaryLoad {
			h.Load = float64((n+i)%loadSteps) / loadSteps
		}
		_ = send(http.MethodPost, "http://"+sidecar.IP+meshPort+"/beat", h)
		select {
		case <-ticker.C:
		case <-d.closed:
			return
		}
	}
}

// httpClient is that of all requests to the daemons; its timeout keeps a daemon that hangs from
// holding up the measurement for good.
var httpClient = &http.Client{Timeout: requestTimeout}

// send sends a JSON body. Any status but success is an error.
func send(method, url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "request")
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return failure.Wrap(err, failure.Internal, "request")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return failure.Wrap(err, failure.Unreachable, url)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return failure.New(failure.BadResponse, "%s: %s", url, response.Status)
	}
	return nil
}

// stop ends the heartbeats and all processes, and deletes their files.
func (d *deployment) stop() {
	close(d.closed)
	for _, proc := range d.processes() {
		proc.Kill()
	}
	d.heartbeats.Wait()
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}
