// Package boot reads the settings of the daemons, strictly: every fault is named
// with its path, all at once.
package boot

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/allowance"
)

// Core is a core's boot.
type Core struct {
	Addr     ident.Addr
	Listen   ident.Addr // where it listens, when that is not Addr itself
	District ident.District
	Seeds    []ident.Addr
	Founders []ident.Addr
	// CanLose is how many machines with a disk may be lost at once; 0 where nobody says.
	CanLose  int
	Data     string
	Voters   int
	RingFile int64
	Rings    int
	// Extra is allowance.Terms.Extra, of which the sidecars have their shares.
	Extra   int
	History time.Duration // how long at least a group's puts are kept for watches
}

// Sidecar is a sidecar's boot.
type Sidecar struct {
	Node     ident.Node
	Caller   ident.Addr
	Addr     ident.Addr
	Listen   ident.Addr // where it listens towards the mesh, when that is not Addr itself
	District ident.District
	Seeds    []ident.Addr
	Senders  int
	Queue    int
	Hand     int
	Stop     time.Duration
	// Own is the service that this machine's endpoint serves, where that is known.
	Own ident.Service
	// App is where that endpoint listens, where that is known.
	App ident.Addr
	// Beat is how often endpoints beat; 0 is the gate's own default.
	Beat time.Duration
	// Fenced says that endpoints turn away what names another in X-Target-Server, so
	// that a beat that lay in a socket does no harm.
	Fenced  bool
	Headers Headers
	// Terms are those of further tries.
	Terms allowance.Terms
	// Bulk bounds the bytes of request bodies in hand; 0 is no bound.
	Bulk int64
	// Cross is what each KB between districts counts in the pick, as time waited for.
	Cross time.Duration
	// Link is how many bytes a second the machine's network link carries, 0 for unknown.
	Link float64
}

// BytesPerMegabit is what a megabit a second carries in a second.
const BytesPerMegabit = 1e6 / 8

// CrossMs is what a KB between districts counts unless the boot says otherwise: links
// between districts are slower and often paid for by the byte.
const CrossMs = 8

// Headers are the names of the headers by which a sidecar speaks with callers and
// endpoints. An empty one is not spoken.
type Headers struct {
	// Id names a request; an endpoint repeats it in its return.
	Id string
	// Limit is how long the caller waits, in milliseconds; endpoints are told what is left.
	Limit string
	// Calling tells an endpoint the service of the machine where the request began.
	Calling string
	// Seal must stand in every return of an endpoint that says success.
	Seal string
	// NotRun is an endpoint's word that it did not run the request.
	NotRun string
	// LoadReport is the header by which an endpoint tells what it has: running, waiting, slots.
	LoadReport string
	// Server is where an endpoint that is asked for its health says who it is.
	Server string
	// Fractions lets Retry-After be told in fractions of a second.
	Fractions bool
}

// Plain are the product's own.
var Plain = Headers{Limit: "X-Deadline-Ms"}

// Flags are what the command line may give; a flag goes before the file. Address is
// the process's own address towards the mesh.
type Flags struct {
	Address  string   `help:"Own address towards the mesh, ip:port, as others reach it."`
	Listen   string   `help:"Where to listen for it, when that differs from the address."`
	Caller   string   `help:"Sidecar only: address that callers use, ip:port."`
	Node     string   `help:"Sidecar only: name of the node; its address if not given."`
	District string   `name:"zone" aliases:"district" help:"Failure zone of this machine."`
	Seeds    []string `help:"Addresses of up to three other processes, ip:port."`
	Founders []string `help:"Core only: addresses of all cores that form the first roster; the seeds and this core if not given and this core is among the seeds."`
	Data     string   `help:"Core only: the one data folder."`
}

// Load reads the file, if one is named, lays the flags over it and gives the tree.
func (f Flags) Load(file string) (map[string]any, *failure.Error) {
	m := map[string]any{}
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, failure.New(failure.BadSettings, "%v", err)
		}
		var d *failure.Error
		if m, d = walk.Parse(raw); d != nil {
			d.Kind, d.Note = failure.BadSettings, file+": "+d.Note
			return nil, d
		}
	}
	for name, v := range map[string]string{"address": f.Address, "listen": f.Listen, "caller": f.Caller, "node": f.Node, "district": f.District, "data": f.Data} {
		if v != "" {
			m[name] = v
		}
	}
	for name, v := range map[string][]string{"seeds": f.Seeds, "founders": f.Founders} {
		if len(v) > 0 {
			list := make([]any, len(v))
			for i, s := range v {
				list[i] = s
			}
			m[name] = list
		}
	}
	return m, nil
}

func addr(s walk.Step, name string, must bool) ident.Addr {
	t := s.Text(name, "")
	if t == "" {
		if must {
			s.Must(name)
		}
		return ""
	}
	return check(s, name, t)
}

func check(s walk.Step, name, t string) ident.Addr {
	if ap, err := netip.ParseAddrPort(t); err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		s.Fault(name, "%q is no ip:port", t)
	}
	return ident.Addr(t)
}

func addrs(s walk.Step, name string, most int) []ident.Addr {
	var out []ident.Addr
	list := s.Texts(name)
	if len(list) > most {
		s.Fault(name, "at most %d addresses", most)
	}
	for _, t := range list {
		a := check(s, name, t)
		if slices.Contains(out, a) {
			s.Fault(name, "%q stands twice", t)
		}
		out = append(out, a)
	}
	return out
}

// extra reads the total of further tries; none is -1.
func extra(s walk.Step) int {
	if n := int(s.Whole("allowanceExtra", share.Total, 0, 1_000_000)); n > 0 {
		return n
	}
	return -1
}

// ReadCore checks a core's boot.
func ReadCore(m map[string]any) (Core, *failure.Error) {
	f := &walk.Faults{}
	s := walk.Top(m, f)
	s.Only("address", "listen", "district", "seeds", "founders", "data", "voters", "ringFileMiB", "ringFiles", "historyS", "allowanceExtra")
	c := Core{Addr: addr(s, "address", true), Listen: addr(s, "listen", false), District: ident.District(s.Must("district")), Seeds: addrs(s, "seeds", 3), Founders: addrs(s, "founders", 9),
		Data: s.Must("data"), Voters: int(s.Whole("voters", 5, 1, 9)), RingFile: s.Whole("ringFileMiB", 16, 12, 1024) << 20, Rings: int(s.Whole("ringFiles", 6, 4, 64)),
		Extra: extra(s), History: time.Duration(s.Real("historyS", 60, 1, 3600) * float64(time.Second))}
	if c.Listen == "" {
		c.Listen = c.Addr
	}
	if len(c.Founders) > 0 && len(c.Founders)%2 == 0 {
		s.Fault("founders", "an odd number of cores forms the first roster")
	}
	if len(c.Founders) == 0 && slices.Contains(c.Seeds, c.Addr) {
		c.Founders = slices.Clone(c.Seeds)
	}
	if len(c.Founders) == 0 && len(c.Seeds) == 0 {
		s.Fault("seeds", "a core needs seeds or founders")
	}
	return c, f.Defect(failure.BadSettings)
}

// ReadSidecar checks a sidecar's boot.
func ReadSidecar(m map[string]any) (Sidecar, *failure.Error) {
	f := &walk.Faults{}
	s := walk.Top(m, f)
	s.Only("node", "address", "listen", "caller", "district", "seeds", "senders", "queue", "hand", "stopS", "allowanceExtra", "allowanceWindowS", "allowanceRatio", "allowanceInner", "crossMsPerKB", "bulkMiB", "linkMbps")
	c := Sidecar{Node: ident.Node(s.Text("node", "")), Addr: addr(s, "address", true), Listen: addr(s, "listen", false), Caller: addr(s, "caller", true),
		District: ident.District(s.Must("district")), Seeds: addrs(s, "seeds", 3), Senders: int(s.Whole("senders", 256, 1, 10000)),
		Queue: int(s.Whole("queue", 512, 1, 100000)), Hand: int(s.Whole("hand", 512, 1, 100000)),
		Stop:  time.Duration(s.Real("stopS", 10, 0, 3600) * float64(time.Second)),
		Terms: allowance.Terms{Extra: extra(s), Window: time.Duration(s.Real("allowanceWindowS", allowance.Window.Seconds(), 1, 600) * float64(time.Second)), Ratio: s.Real("allowanceRatio", allowance.Ratio, 0, 1), Inner: s.Flag("allowanceInner", false)}}
	c.Headers = Plain
	c.Bulk = s.Whole("bulkMiB", 0, 0, 1<<20) << 20
	c.Link = s.Real("linkMbps", 0, 0, 1e9) * BytesPerMegabit
	c.Cross = time.Duration(s.Real("crossMsPerKB", CrossMs, 0, 1e6) * float64(time.Millisecond))
	if c.Terms.Ratio == 0 {
		c.Terms.Ratio = -1
	}
	if c.Node == "" {
		c.Node = ident.Node(c.Addr)
	}
	if c.Listen == "" {
		c.Listen = c.Addr
	}
	if c.Addr != "" && c.Addr == c.Caller {
		s.Fault("caller", "must differ from address")
	}
	if len(c.Seeds) == 0 {
		s.Fault("seeds", "a sidecar needs at least one seed")
	}
	return c, f.Defect(failure.BadSettings)
}
