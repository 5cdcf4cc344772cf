// Package check reads a whole manifest into its types and names every fault.
package check

import (
	"net"
	"regexp"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// BytesMax is the largest manifest.
	BytesMax    = 4 << 20
	servicesMax = 5000
	waysMax     = 20000
	callersMax  = 1000
)

// Service is the paper's Service, as the operator writes it.
type Service struct {
	Hostname  ident.Service `json:"hostname"`
	Namespace string        `json:"namespace"`
	// Drain is how long an endpoint that leaves may finish what it has in hand.
	Drain time.Duration `json:"drain"`
	// Reuse is how soon its address may pass to another service.
	Reuse time.Duration `json:"reuse"`
	// Part is the share of its traffic that may be tried again. Invariant: at most 0.2.
	Part float64 `json:"part"`
	// Callers weighs the callers below the service in the tree of allowances.
	Callers map[string]float64 `json:"callers,omitempty"`
}

// Way sends a host and path to a service.
type Way struct {
	Name      string        `json:"name"`
	Host      string        `json:"host"`
	PathStart string        `json:"pathStart"`
	Service   ident.Service `json:"service"`
	Urgent    bool          `json:"urgent,omitempty"`
	// Split sends parts of the way to other services. Invariant: in order of service,
	// at most 100 in sum, never Service itself.
	Split []Split       `json:"split,omitempty"`
	Limit time.Duration `json:"limit"`
	Tries int           `json:"tries"`
}

// Split is a part of a way, in hundredths.
type Split struct {
	Service ident.Service `json:"service"`
	Percent int           `json:"percent"`
}

// Manifest is what operators want in force. Invariants: every way's service is
// there; no two ways have the same host and pathStart.
type Manifest struct {
	Epoch    ident.Epoch
	Services map[ident.Service]Service
	Ways     []Way
}

var (
	name = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,251}[A-Za-z0-9])?$`)
	wild = "*"
)

// Host is the form hosts are compared in.
func Host(h string) string {
	if host, _, err := net.SplitHostPort(h); err == nil {
		h = host
	}
	return strings.TrimSuffix(strings.ToLower(h), ".")
}

// Read checks a whole manifest.
func Read(m map[string]any) (*Manifest, *defect.Defect) {
	f := &walk.Faults{}
	top := walk.Top(m, f)
	top.Only("services", "ways")
	out := &Manifest{Services: map[ident.Service]Service{}}
	all := top.Down("services")
	if len(all.Names()) > servicesMax {
		f.Add("services", "at most %d services", servicesMax)
		return nil, f.Defect(defect.Invalid)
	}
	for _, host := range all.Names() {
		s := all.Down(host)
		s.Only("namespace", "drainS", "reuseAfterS", "allowance")
		if !name.MatchString(host) || Host(host) != host {
			all.Fault(host, "a service is named by a hostname in lower case")
		}
		svc := Service{
			Hostname: ident.Service(host), Namespace: s.Text("namespace", "default"),
			Drain: seconds(s.Real("drainS", 2, 0.1, 600)), Reuse: seconds(s.Real("reuseAfterS", 2, 1, 3600)),
		}
		a := s.Down("allowance")
		a.Only("part", "callers")
		svc.Part = a.Real("part", 0.2, 0, 0.2)
		callers := a.Down("callers")
		if len(callers.Names()) > callersMax {
			a.Fault("callers", "at most %d callers", callersMax)
		}
		for _, who := range callers.Names() {
			if svc.Callers == nil {
				svc.Callers = map[string]float64{}
			}
			svc.Callers[who] = callers.Real(who, 1, 0, 1000)
		}
		out.Services[svc.Hostname] = svc
	}
	ways := top.Down("ways")
	if len(ways.Names()) > waysMax {
		f.Add("ways", "at most %d ways", waysMax)
		return nil, f.Defect(defect.Invalid)
	}
	taken := map[[2]string]string{}
	for _, n := range ways.Names() {
		w := ways.Down(n)
		w.Only("host", "pathStart", "service", "urgent", "timeoutMs", "tries", "split")
		if !name.MatchString(n) {
			ways.Fault(n, "a way is named by letters, digits, dots and dashes")
		}
		way := Way{
			Name: n, Host: w.Must("host"), PathStart: w.Text("pathStart", "/"), Service: ident.Service(w.Must("service")),
			Urgent: w.Flag("urgent", false), Limit: time.Duration(w.Whole("timeoutMs", 5000, 10, 600000)) * time.Millisecond,
			Tries: int(w.Whole("tries", 3, 1, 10)),
		}
		if way.Host != "" && way.Host != wild && !name.MatchString(way.Host) {
			w.Fault("host", "must be a host name without port, or *")
		}
		way.Host = Host(way.Host)
		if !strings.HasPrefix(way.PathStart, "/") || len(way.PathStart) > 2048 || strings.ContainsAny(way.PathStart, "?# ") {
			w.Fault("pathStart", "must begin with / and hold no query")
		}
		if _, ok := out.Services[way.Service]; !ok && way.Service != "" {
			w.Fault("service", "there is no service %q", way.Service)
		}
		split, sum := w.Down("split"), 0
		for _, to := range split.Names() {
			p := Split{ident.Service(to), int(split.Whole(to, 0, 0, 100))}
			if _, ok := out.Services[p.Service]; !ok {
				split.Fault(to, "there is no service %q", to)
			}
			if p.Service == way.Service {
				split.Fault(to, "is the way's own service")
			}
			if sum += p.Percent; sum > 100 {
				split.Fault(to, "the parts sum over 100")
			}
			way.Split = append(way.Split, p)
		}
		spot := [2]string{way.Host, way.PathStart}
		if other, ok := taken[spot]; ok {
			w.Fault("pathStart", "the same host and pathStart as way %q", other)
		}
		taken[spot] = n
		out.Ways = append(out.Ways, way)
	}
	if d := f.Defect(defect.Invalid); d != nil {
		return nil, d
	}
	slices.SortFunc(out.Ways, func(a, b Way) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
