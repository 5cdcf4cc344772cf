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

// The processes have the addresses 127.ROLE.ZONE.N with fixed ports. ROLE is 10 for cores and 11 for
// sidecars.
const (
	coreOctet    = 10
	sidecarOctet = 11
	meshPort     = ":7380"
	clientPort   = ":7381"
	endpointPort = ":8080"
)

const (
	seedCount           = 3                      // number of cores that serve as seeds
	configTimeout       = 20 * time.Second       // until a core accepts the configuration
	configRetryInterval = 200 * time.Millisecond // between attempts
	requestTimeout      = 30 * time.Second       // of each request to a daemon
	serviceName         = "accounts"
	constantLoad        = 0.1 // load in all heartbeats without Options.VaryLoad
	distinctLoads       = 5   // number of distinct loads in heartbeats with Options.VaryLoad
)

// deployment holds the processes of a measurement and the senders of their heartbeats.
type deployment struct {
	options    Options
	dir        string
	cores      []*process.Process
	sidecars   []*process.Process
	stopped    chan struct{}
	heartbeats sync.WaitGroup
}

// startDeployment starts all processes. The caller must stop the returned deployment, also after an
// error.
func startDeployment(options Options) (*deployment, error) {
	d := &deployment{options: options, stopped: make(chan struct{})}
	var err error
	if d.dir, err = os.MkdirTemp("", "idlecost"); err != nil {
		return d, failure.Wrap(err, failure.Internal, "create a temporary folder")
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

// prepareCores writes the settings files of the cores. The number of founders is the smaller of
// Options.Voters and the largest odd number of cores.
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

// prepareSidecars writes the settings files of the sidecars.
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

// ip returns the IP of the i-th process of a role.
func (d *deployment) ip(octet, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", octet, i%d.options.Zones, 1+i/d.options.Zones)
}

func (d *deployment) zone(i int) string { return fmt.Sprintf("d%d", i%d.options.Zones) }

// coreAddrs returns the addresses of the first cores, at most count.
func (d *deployment) coreAddrs(count int) []string {
	var addrs []string
	for i := range min(count, d.options.Cores) {
		addrs = append(addrs, d.ip(coreOctet, i)+meshPort)
	}
	return addrs
}

// processes returns the cores, followed by the sidecars.
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

// proposeConfig proposes a small configuration until a core accepts the proposal or configTimeout
// has passed.
func (d *deployment) proposeConfig() error {
	config := meshConfig{
		Services: map[string]serviceConfig{serviceName: {}},
		Routes:   map[string]routeConfig{"one": {Host: "accounts.example", PathStart: "/", Service: serviceName}},
	}
	for deadline := time.Now().Add(configTimeout); ; time.Sleep(configRetryInterval) {
		err := sendJSON(http.MethodPut, "http://"+d.cores[0].IP+meshPort+"/manifest", config)
		if err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

// writeKeys writes Options.Keys keys with small values. The writes are spread over the cores.
func (d *deployment) writeKeys() error {
	type keyRequest struct {
		Value string `json:"value"`
	}
	for i := range d.options.Keys {
		url := fmt.Sprintf("http://%s%s/keys/key-%d", d.cores[i%len(d.cores)].IP, meshPort, i)
		if err := sendJSON(http.MethodPut, url, keyRequest{"a small value"}); err != nil {
			return err
		}
	}
	return nil
}

// heartbeat is the body of a heartbeat of an endpoint to its sidecar.
type heartbeat struct {
	Server  string  `json:"serverId"`
	Service string  `json:"service"`
	Addr    string  `json:"address"`
	State   string  `json:"state"`
	Load    float64 `json:"burden"`
}

// startHeartbeats starts to send the heartbeats of one endpoint to each sidecar, until stop is
// called.
func (d *deployment) startHeartbeats() {
	for i, sidecar := range d.sidecars {
		d.heartbeats.Go(func() { d.sendHeartbeats(i, sidecar) })
	}
}

func (d *deployment) sendHeartbeats(i int, sidecar *process.Process) {
	ticker := time.NewTicker(d.options.HeartbeatInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		body := heartbeat{
			Server:  fmt.Sprintf("i-%08x", i),
			Service: serviceName,
			Addr:    sidecar.IP + endpointPort,
			State:   "alive",
			Load:    constantLoad,
		}
		if d.options.VaryLoad {
			body.Load = float64((n+i)%distinctLoads) / distinctLoads
		}
		_ = sendJSON(http.MethodPost, "http://"+sidecar.IP+meshPort+"/beat", body)
		select {
		case <-ticker.C:
		case <-d.stopped:
			return
		}
	}
}

// httpClient sends all requests to the daemons. The timeout prevents a hanging daemon from blocking
// the measurement forever.
var httpClient = &http.Client{Timeout: requestTimeout}

// sendJSON sends a request with a JSON body and returns an error unless the status is 2xx.
func sendJSON(method, url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "encode the body of a request to "+url)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return failure.Wrap(err, failure.Internal, "create a request to "+url)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return failure.Wrap(err, failure.Unreachable, "send a request to "+url)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return failure.New(failure.BadResponse, "%s responded with status %s", url, response.Status)
	}
	return nil
}

// stop stops the heartbeats, kills all processes and deletes their files.
func (d *deployment) stop() {
	close(d.stopped)
	for _, proc := range d.processes() {
		proc.Kill()
	}
	d.heartbeats.Wait()
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}
