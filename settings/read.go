package settings

import (
	"net/netip"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/mesh/retrybudget"
)

const (
	maxSeeds    = 3
	maxFounders = 9
)

// ReadCore reads the settings of a core. The failure has kind BadSettings and lists all faults.
func ReadCore(values map[string]any) (Core, *failure.Error) {
	faults := &decode.Faults{}
	s := newSource(values, faults, keyAddress, keyListen, keyZone, keySeeds, keyFounders, keyData, keyVoters,
		keyRingFileMiB, keyRingFiles, keyHistoryS, keyRetryExtra)
	core := Core{
		Addr:           s.requiredAddr(keyAddress),
		Listen:         s.addr(keyListen),
		Zone:           ident.Zone(s.requiredText(keyZone)),
		Seeds:          s.addrs(keySeeds, maxSeeds),
		Founders:       s.addrs(keyFounders, maxFounders),
		Data:           s.requiredText(keyData),
		Voters:         int(s.integer(keyVoters, 5, 1, 9)),
		RingFileBytes:  s.integer(keyRingFileMiB, 16, 12, 1024) << 20,
		RingFiles:      int(s.integer(keyRingFiles, 6, 4, 64)),
		RetryLimit:     s.retryLimit(),
		WatchHistory:   s.seconds(keyHistoryS, 60, 1, 3600),
		DeprecatedKeys: s.deprecated,
	}
	if core.Listen == "" {
		core.Listen = core.Addr
	}
	if len(core.Founders) > 0 && len(core.Founders)%2 == 0 {
		s.fault(keyFounders, "the number of founders must be odd")
	}
	if len(core.Founders) == 0 && slices.Contains(core.Seeds, core.Addr) {
		core.Founders = slices.Clone(core.Seeds)
	}
	if len(core.Founders) == 0 && len(core.Seeds) == 0 {
		s.fault(keySeeds, "seeds or founders must be given for a core")
	}
	return core, faults.Err(failure.BadSettings)
}

// ReadSidecar reads the settings of a sidecar. The failure has kind BadSettings and lists all faults.
func ReadSidecar(values map[string]any) (Sidecar, *failure.Error) {
	faults := &decode.Faults{}
	s := newSource(values, faults, keyNode, keyAddress, keyListen, keyClientAddress, keyZone, keySeeds,
		keySenders, keyQueue, keyMaxInFlight, keyStopS, keyRetryExtra, keyRetryWindowS, keyRetryRatio,
		keyRetryNested, keyCrossZoneMsPerKB, keyBodyMiB, keyLinkMbps, keyServerIDHeader)
	sidecar := Sidecar{
		Node:               ident.Node(s.text(keyNode)),
		Addr:               s.requiredAddr(keyAddress),
		Listen:             s.addr(keyListen),
		ClientAddr:         s.requiredAddr(keyClientAddress),
		Zone:               ident.Zone(s.requiredText(keyZone)),
		Seeds:              s.addrs(keySeeds, maxSeeds),
		Senders:            int(s.integer(keySenders, 256, 1, 10000)),
		QueueCapacity:      int(s.integer(keyQueue, 512, 1, 100000)),
		MaxInFlight:        int(s.integer(keyMaxInFlight, 512, 1, 100000)),
		StopTimeout:        s.seconds(keyStopS, 10, 0, 3600),
		RetryBudget:        s.retryBudget(),
		Headers:            DefaultHeaders,
		MaxBodyBytes:       s.integer(keyBodyMiB, 0, 0, 1<<20) << 20,
		LinkBytesPerSecond: s.number(keyLinkMbps, 0, 0, 1e9) * BytesPerMegabit,
		CrossZoneCostPerKB: time.Duration(s.number(keyCrossZoneMsPerKB, DefaultCrossZoneMsPerKB, 0, 1e6) * float64(time.Millisecond)),
		DeprecatedKeys:     s.deprecated,
	}
	sidecar.Headers.ServerID = s.text(keyServerIDHeader)
	if sidecar.Node == "" {
		sidecar.Node = ident.Node(sidecar.Addr)
	}
	if sidecar.Listen == "" {
		sidecar.Listen = sidecar.Addr
	}
	if sidecar.Addr != "" && sidecar.Addr == sidecar.ClientAddr {
		s.fault(keyClientAddress, "must differ from address %q", sidecar.Addr)
	}
	if len(sidecar.Seeds) == 0 {
		s.fault(keySeeds, "must contain at least one address for a sidecar")
	}
	return sidecar, faults.Err(failure.BadSettings)
}

// retryBudget reads the limits of the retry budget. A ratio of 0 is stored as -1, because in
// retrybudget.Limits 0 means the default.
func (s source) retryBudget() retrybudget.Limits {
	limits := retrybudget.Limits{
		Extra:       s.retryLimit(),
		Window:      s.seconds(keyRetryWindowS, retrybudget.DefaultWindow.Seconds(), 1, 600),
		Ratio:       s.number(keyRetryRatio, retrybudget.DefaultRatio, 0, 1),
		CountNested: s.flag(keyRetryNested),
	}
	if limits.Ratio == 0 {
		limits.Ratio = -1
	}
	return limits
}

// retryLimit reads how many retries the whole mesh may make in a window; -1 means none.
func (s source) retryLimit() int {
	if limit := int(s.integer(keyRetryExtra, quota.DefaultTotal, 0, 1_000_000)); limit > 0 {
		return limit
	}
	return -1
}

func (s source) seconds(key string, fallback, low, high float64) time.Duration {
	return time.Duration(s.number(key, fallback, low, high) * float64(time.Second))
}

// requiredAddr reads an address that must be given.
func (s source) requiredAddr(key string) ident.Addr {
	text := s.text(key)
	if text == "" {
		s.requiredText(key)
		return ""
	}
	return s.checkAddr(key, text)
}

// addr reads an optional address, "" if the address is not given.
func (s source) addr(key string) ident.Addr {
	text := s.text(key)
	if text == "" {
		return ""
	}
	return s.checkAddr(key, text)
}

func (s source) addrs(key string, limit int) []ident.Addr {
	list := s.texts(key)
	if len(list) > limit {
		s.fault(key, "must contain at most %d addresses", limit)
	}
	var addrs []ident.Addr
	for _, text := range list {
		addr := s.checkAddr(key, text)
		if slices.Contains(addrs, addr) {
			s.fault(key, "address %q is listed twice", text)
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// checkAddr adds a fault unless the text is an address that other processes can dial.
func (s source) checkAddr(key, text string) ident.Addr {
	if addrPort, err := netip.ParseAddrPort(text); err != nil || addrPort.Port() == 0 || addrPort.Addr().IsUnspecified() {
		s.fault(key, "%q is not a valid ip:port address", text)
	}
	return ident.Addr(text)
}
