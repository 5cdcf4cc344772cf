// Package check reads a whole manifest into its types and names every fault.
package check

import (
	"net"
	"strings"
	"time"

	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// BytesMax is the largest manifest.
	BytesMax    = 4 << 20
	servicesMax = 5000
	waysMax     = 20000
	callersMax  = 1000
	nameMax     = 253
	dayMs       = 86_400_000
	wild        = "*"
	// exact is the largest whole number that a JSON number holds for every reader.
	exact = 1 << 53
)

// Host is the form hosts are compared in.
func Host(h string) string {
	if strings.IndexByte(h, ':') >= 0 {
		if host, _, err := net.SplitHostPort(h); err == nil {
			h = host
		}
	}
	return strings.TrimSuffix(strings.ToLower(h), ".")
}

// named tells whether a text may be a name: letters and digits, with dots, dashes and
// underscores between them.
func named(s string) bool {
	for i := range len(s) {
		c := s[i]
		word := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !word && (i == 0 || i == len(s)-1 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return s != "" && len(s) <= nameMax
}

// plain tells whether a text may be a name where the writer chooses names freely: any
// text in print without spaces.
func plain(s string) bool {
	for _, c := range s {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= nameMax
}

// form is how strictly names are read.
type form struct {
	name, host func(string) bool
	service    func(string) bool
}

var (
	strict = form{named, named, func(s string) bool { return named(s) && Host(s) == s }}
	free   = form{plain, plain, plain}
)

// Read checks a whole manifest and knows every field of it.
func Read(m map[string]any) (*Manifest, *failure.Error) { return read(m, strict, &walk.Faults{}) }

// Loose checks a whole manifest that may have fields beyond those known here, and
// freer names. Invariant: what Read takes, Loose takes, and as the same; so whoever gets
// a confirmed manifest reads it loosely.
func Loose(m map[string]any) (*Manifest, *failure.Error) {
	return read(m, free, &walk.Faults{Loose: true})
}

func read(m map[string]any, by form, f *walk.Faults) (*Manifest, *failure.Error) {
	top := walk.Top(m, f)
	top.Only("release", "limits", "services", "ways")
	out := &Manifest{Release: uint64(top.Whole("release", 0, 0, exact)), Limits: limits(top)}
	all := top.Down("services")
	hosts := all.Names()
	if len(hosts) > servicesMax {
		f.Add("services", "at most %d services", servicesMax)
		return nil, f.Defect(failure.Invalid)
	}
	out.Services = make(map[ident.Service]Service, len(hosts))
	for _, host := range hosts {
		if !by.service(host) {
			all.Fault(host, "a service is named by a hostname in lower case")
		}
		out.Services[ident.Service(host)] = service(host, all.Down(host))
	}
	ways := top.Down("ways")
	names := ways.Names()
	if len(names) > waysMax {
		f.Add("ways", "at most %d ways", waysMax)
		return nil, f.Defect(failure.Invalid)
	}
	out.Ways = make([]Way, 0, len(names))
	taken := make(map[[2]string]string, len(names))
	for _, n := range names {
		if !by.name(n) {
			ways.Fault(n, "a way is named by letters, digits, dots and dashes")
		}
		w := ways.Down(n)
		way := road(n, w, by, out.Services)
		spot := [2]string{way.Host, way.PathStart}
		if other, ok := taken[spot]; ok {
			w.Fault("pathStart", "the same host and pathStart as way %q", other)
		}
		taken[spot] = n
		out.Ways = append(out.Ways, way)
	}
	if d := f.Defect(failure.Invalid); d != nil {
		return nil, d
	}
	return out, nil
}

func limits(top walk.Step) Limits {
	l := top.Down("limits")
	l.Only("headBytes", "bodyBytes", "headMs", "idleMs")
	return Limits{
		HeadBytes: l.Whole("headBytes", Usual.HeadBytes, 1, exact), BodyBytes: l.Whole("bodyBytes", Usual.BodyBytes, 0, exact),
		Head: ms(l.Real("headMs", 10000, 1, dayMs)), Idle: ms(l.Real("idleMs", 90000, 1, dayMs)),
	}
}

func service(host string, s walk.Step) Service {
	s.Only("namespace", "drainS", "reuseAfterS", "allowance", "checkPath", "connections", "protocol", "encrypted")
	svc := Service{
		Hostname: ident.Service(host), Namespace: s.Text("namespace", "default"),
		Drain: seconds(s.Real("drainS", 2, 0.1, 600)), Reuse: seconds(s.Real("reuseAfterS", 2, 1, 3600)),
		CheckPath: s.Text("checkPath", ""), Connections: int(s.Whole("connections", 0, 0, 1<<31-1)),
	}
	if svc.CheckPath != "" && !strings.HasPrefix(svc.CheckPath, "/") {
		s.Fault("checkPath", "must begin with /")
	}
	if s.Text("protocol", "h1") != "h1" {
		s.Fault("protocol", "must be h1")
	}
	if s.Flag("encrypted", false) {
		s.Fault("encrypted", "endpoints are spoken to without encryption only")
	}
	a := s.Down("allowance")
	a.Only("part", "callers")
	svc.Part = a.Real("part", 0.2, 0, 0.2)
	callers := a.Down("callers")
	names := callers.Names()
	if len(names) > callersMax {
		a.Fault("callers", "at most %d callers", callersMax)
	}
	for _, who := range names {
		if svc.Callers == nil {
			svc.Callers = map[string]float64{}
		}
		svc.Callers[who] = callers.Real(who, 1, 0, 1000)
	}
	return svc
}

func road(n string, w walk.Step, by form, services map[ident.Service]Service) Way {
	w.Only("host", "pathStart", "service", "urgent", "timeoutMs", "tries", "split", "repeat", "aimMs", "rank")
	way := Way{
		Name: n, Host: w.Must("host"), PathStart: w.Text("pathStart", "/"), Urgent: w.Flag("urgent", false),
		Repeat: Repeat(w.Text("repeat", "")), Aim: ms(w.Real("aimMs", 0, 0, dayMs)), Limit: ms(w.Real("timeoutMs", 5000, 0, dayMs)),
		Tries: int(w.Whole("tries", 3, 1, 100)),
	}
	rank := int64(2)
	if way.Urgent {
		rank = 0
	}
	way.Rank = int(w.Whole("rank", rank, 0, 1<<31-1))
	if way.Limit <= 0 {
		w.Fault("timeoutMs", "must be above 0")
	}
	if _, ok := repeats[way.Repeat]; !ok || way.Repeat == ByMethod && w.Has("repeat") {
		w.Fault("repeat", "must be repeatable, one_shot, upload or download")
	}
	if way.Host != "" && way.Host != wild && !by.host(way.Host) {
		w.Fault("host", "must be a host name without port, or *")
	}
	way.Host = Host(way.Host)
	if !strings.HasPrefix(way.PathStart, "/") || len(way.PathStart) > 2048 || strings.ContainsAny(way.PathStart, "?# ") {
		w.Fault("pathStart", "must begin with / and hold no query")
	}
	if w.Is("split") {
		way.Service, way.Split = shares(w, services)
		return way
	}
	way.Service = ident.Service(w.Must("service"))
	if _, ok := services[way.Service]; !ok && way.Service != "" {
		w.Fault("service", "there is no service %q", way.Service)
	}
	way.Split = hundredths(w.Down("split"), way.Service, services)
	return way
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
