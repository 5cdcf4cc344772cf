// Package settings reads the settings of the daemons, strictly: every fault is named
// with its path, all at once.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/mesh/retrybudget"
)

// Core is a core's boot.
type Core struct {
	Addr     ident.Addr
	Listen   ident.Addr // where it listens, when that is not Addr itself
	Zone     ident.Zone
	Seeds    []ident.Addr
	Founders []ident.Addr
	// ToleratedLosses is how many machines with a disk may be lost at once; 0 where nobody says.
	ToleratedLosses int
	Data            string
	Voters          int
	RingFileBytes   int64
	RingFiles       int
	// RetryLimit is allowance.Terms.Extra, of which the sidecars have their shares.
	RetryLimit   int
	WatchHistory time.Duration // how long at least a group's puts are kept for watches
}

// Sidecar is a sidecar's boot.
type Sidecar struct {
	Node          ident.Node
	ClientAddr    ident.Addr
	Addr          ident.Addr
	Listen        ident.Addr // where it listens towards the mesh, when that is not Addr itself
	Zone          ident.Zone
	Seeds         []ident.Addr
	Senders       int
	QueueCapacity int
	MaxInFlight   int
	StopTimeout   time.Duration
	// EndpointService is the service that this machine's endpoint serves, where that is known.
	EndpointService ident.Service
	// EndpointAddr is where that endpoint listens, where that is known.
	EndpointAddr ident.Addr
	// HeartbeatInterval is how often endpoints beat; 0 is the gate's own default.
	HeartbeatInterval time.Duration
	// EndpointsVerifyTarget says that endpoints turn away what names another in X-Target-Server, so
	// that a beat that lay in a socket does no harm.
	EndpointsVerifyTarget bool
	Headers               Headers
	// RetryBudget are those of further tries.
	RetryBudget retrybudget.Limits
	// MaxBodyBytes bounds the bytes of request bodies in hand; 0 is no bound.
	MaxBodyBytes int64
	// CrossZoneCostPerKB is what each KB between districts counts in the pick, as time waited for.
	CrossZoneCostPerKB time.Duration
	// LinkBytesPerSecond is how many bytes a second the machine's network link carries, 0 for unknown.
	LinkBytesPerSecond float64
}

// BytesPerMegabit is what a megabit a second carries in a second.
const BytesPerMegabit = 1e6 / 8

// DefaultCrossZoneMsPerKB is what a KB between districts counts unless the boot says otherwise: links
// between districts are slower and often paid for by the byte.
const DefaultCrossZoneMsPerKB = 8

// Headers are the names of the headers by which a sidecar speaks with callers and
// endpoints. An empty one is not spoken.
type Headers struct {
	// RequestID names a request; an endpoint repeats it in its return.
	RequestID string
	// Deadline is how long the caller waits, in milliseconds; endpoints are told what is left.
	Deadline string
	// CallingService tells an endpoint the service of the machine where the request began.
	CallingService string
	// SuccessMark must stand in every return of an endpoint that says success.
	SuccessMark string
	// NotExecuted is an endpoint's word that it did not run the request.
	NotExecuted string
	// LoadReport is the header by which an endpoint tells what it has: running, waiting, slots.
	LoadReport string
	// ServerID is where an endpoint that is asked for its health says who it is.
	ServerID string
	// FractionalRetryAfter lets Retry-After be told in fractions of a second.
	FractionalRetryAfter bool
}

// DefaultHeaders are the product's own.
var DefaultHeaders = Headers{Deadline: "X-Deadline-Ms"}

// Flags are what the command line may give; a flag goes before the file. Address is
// the process's own address towards the mesh.
type Flags struct {
	Address  string   `help:"Own address towards the mesh, ip:port, as others reach it."`
	Listen   string   `help:"Where to listen for it, when that differs from the address."`
	Caller   string   `help:"Sidecar only: address that callers use, ip:port."`
	Node     string   `help:"Sidecar only: name of the node; its address if not given."`
	Zone     string   `name:"zone" aliases:"district" help:"Failure zone of this machine."`
	Seeds    []string `help:"Addresses of up to three other processes, ip:port."`
	Founders []string `help:"Core only: addresses of all cores that form the first roster; the seeds and this core if not given and this core is among the seeds."`
	Data     string   `help:"Core only: the one data folder."`
}

// Load reads the file, if one is named, lays the flags over it and gives the tree.
func (f Flags) Load(file string) (map[string]any, *failure.Error) {
	values := map[string]any{}
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, failure.New(failure.BadSettings, "%v", err)
		}
		var fail *failure.Error
		if values, fail = decode.Parse(raw); fail != nil {
			fail.Kind, fail.Note = failure.BadSettings, file+": "+fail.Note
			return nil, fail
		}
	}
	for name, value := range map[string]string{"address": f.Address, "listen": f.Listen, "caller": f.Caller, "node": f.Node, "district": f.Zone, "data": f.Data} {
		if value != "" {
			values[name] = value
		}
	}
	for name, value := range map[string][]string{"seeds": f.Seeds, "founders": f.Founders} {
		if len(value) > 0 {
			list := make([]any, len(value))
			for i, s := range value {
				list[i] = s
			}
			values[name] = list
		}
	}
	return values, nil
}

func readAddr(node decode.Object, name string, required bool) ident.Addr {
	text := node.String(name, "")
	if text == "" {
		if required {
			node.RequiredString(name)
		}
		return ""
	}
	return parseAddr(node, name, text)
}

func parseAddr(node decode.Object, name, text string) ident.Addr {
	if addrPort, err := netip.ParseAddrPort(text); err != nil || addrPort.Port() == 0 || addrPort.Addr().IsUnspecified() {
		node.Fault(name, "%q is no ip:port", text)
	}
	return ident.Addr(text)
}

func readAddrs(node decode.Object, name string, limit int) []ident.Addr {
	var out []ident.Addr
	list := node.Strings(name)
	if len(list) > limit {
		node.Fault(name, "at most %d addresses", limit)
	}
	for _, text := range list {
		parsed := parseAddr(node, name, text)
		if slices.Contains(out, parsed) {
			node.Fault(name, "%q stands twice", text)
		}
		out = append(out, parsed)
	}
	return out
}

// readRetryLimit reads the total of further tries; none is -1.
func readRetryLimit(node decode.Object) int {
	if limit := int(node.Int("allowanceExtra", quota.DefaultTotal, 0, 1_000_000)); limit > 0 {
		return limit
	}
	return -1
}

// ReadCore checks a core's boot.
func ReadCore(values map[string]any) (Core, *failure.Error) {
	faults := &decode.Faults{}
	node := decode.Root(values, faults)
	node.RejectUnknown("address", "listen", "district", "seeds", "founders", "data", "voters", "ringFileMiB", "ringFiles", "historyS", "allowanceExtra")
	core := Core{Addr: readAddr(node, "address", true), Listen: readAddr(node, "listen", false), Zone: ident.Zone(node.RequiredString("district")), Seeds: readAddrs(node, "seeds", 3), Founders: readAddrs(node, "founders", 9),
		Data: node.RequiredString("data"), Voters: int(node.Int("voters", 5, 1, 9)), RingFileBytes: node.Int("ringFileMiB", 16, 12, 1024) << 20, RingFiles: int(node.Int("ringFiles", 6, 4, 64)),
		RetryLimit: readRetryLimit(node), WatchHistory: time.Duration(node.Float("historyS", 60, 1, 3600) * float64(time.Second))}
	if core.Listen == "" {
		core.Listen = core.Addr
	}
	if len(core.Founders) > 0 && len(core.Founders)%2 == 0 {
		node.Fault("founders", "an odd number of cores forms the first roster")
	}
	if len(core.Founders) == 0 && slices.Contains(core.Seeds, core.Addr) {
		core.Founders = slices.Clone(core.Seeds)
	}
	if len(core.Founders) == 0 && len(core.Seeds) == 0 {
		node.Fault("seeds", "a core needs seeds or founders")
	}
	return core, faults.Err(failure.BadSettings)
}

// ReadSidecar checks a sidecar's boot.
func ReadSidecar(values map[string]any) (Sidecar, *failure.Error) {
	faults := &decode.Faults{}
	node := decode.Root(values, faults)
	node.RejectUnknown("node", "address", "listen", "caller", "district", "seeds", "senders", "queue", "hand", "stopS", "allowanceExtra", "allowanceWindowS", "allowanceRatio", "allowanceInner", "crossMsPerKB", "bulkMiB", "linkMbps")
	sidecar := Sidecar{Node: ident.Node(node.String("node", "")), Addr: readAddr(node, "address", true), Listen: readAddr(node, "listen", false), ClientAddr: readAddr(node, "caller", true),
		Zone: ident.Zone(node.RequiredString("district")), Seeds: readAddrs(node, "seeds", 3), Senders: int(node.Int("senders", 256, 1, 10000)),
		QueueCapacity: int(node.Int("queue", 512, 1, 100000)), MaxInFlight: int(node.Int("hand", 512, 1, 100000)),
		StopTimeout: time.Duration(node.Float("stopS", 10, 0, 3600) * float64(time.Second)),
		RetryBudget: retrybudget.Limits{Extra: readRetryLimit(node), Window: time.Duration(node.Float("allowanceWindowS", retrybudget.DefaultWindow.Seconds(), 1, 600) * float64(time.Second)), Ratio: node.Float("allowanceRatio", retrybudget.DefaultRatio, 0, 1), CountNested: node.Bool("allowanceInner", false)}}
	sidecar.Headers = DefaultHeaders
	sidecar.MaxBodyBytes = node.Int("bulkMiB", 0, 0, 1<<20) << 20
	sidecar.LinkBytesPerSecond = node.Float("linkMbps", 0, 0, 1e9) * BytesPerMegabit
	sidecar.CrossZoneCostPerKB = time.Duration(node.Float("crossMsPerKB", DefaultCrossZoneMsPerKB, 0, 1e6) * float64(time.Millisecond))
	if sidecar.RetryBudget.Ratio == 0 {
		sidecar.RetryBudget.Ratio = -1
	}
	if sidecar.Node == "" {
		sidecar.Node = ident.Node(sidecar.Addr)
	}
	if sidecar.Listen == "" {
		sidecar.Listen = sidecar.Addr
	}
	if sidecar.Addr != "" && sidecar.Addr == sidecar.ClientAddr {
		node.Fault("caller", "must differ from address")
	}
	if len(sidecar.Seeds) == 0 {
		node.Fault("seeds", "a sidecar needs at least one seed")
	}
	return sidecar, faults.Err(failure.BadSettings)
}
