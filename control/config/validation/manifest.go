package validation

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// Service is the paper's Service, as the operator writes it.
type Service struct {
	Hostname  ident.Service `json:"hostname"`
	Namespace string        `json:"namespace"`
	// DrainTimeout is how long an endpoint that leaves may finish what it has in hand.
	DrainTimeout time.Duration `json:"drain"`
	// AddressReuseDelay is how soon its address may pass to another service.
	AddressReuseDelay time.Duration `json:"reuse"`
	// RetryRatio is the share of its traffic that may be tried again. Invariant: at most 0.2.
	RetryRatio float64 `json:"part"`
	// CallerWeights weighs the callers below the service in the tree of allowances.
	CallerWeights map[string]float64 `json:"callers,omitempty"`
	// HealthCheckPath is where an endpoint says whether it is well; empty when it has none.
	HealthCheckPath string `json:"checkPath,omitempty"`
	// MaxConnections caps the connections to one endpoint; 0 is no cap.
	MaxConnections int `json:"connections,omitempty"`
}

// Route sends a host and path to a service.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathStart"`
	// Service takes what Split leaves.
	Service ident.Service `json:"service"`
	Urgent  bool          `json:"urgent,omitempty"`
	// Repeat says what may run twice; empty leaves it to the method.
	Repeat RepeatPolicy `json:"repeat,omitempty"`
	// Priority orders ways under burden, 0 first.
	Priority int `json:"rank"`
	// TargetLatency is when an answer earns its full worth; 0 is none.
	TargetLatency time.Duration `json:"aim,omitempty"`
	// Split sends parts of the way to other services. Invariant: in order of service,
	// at most the whole in sum, never Service itself.
	Split       []WeightedService `json:"split,omitempty"`
	Timeout     time.Duration     `json:"limit"`
	MaxAttempts int               `json:"tries"`
}

// WeightedService is a part of a way: Percent hundredths and, beside them, Rest millionths.
// Invariant: Rest is below one hundredth.
type WeightedService struct {
	Service         ident.Service `json:"service"`
	Percent         int           `json:"percent"`
	ExtraMillionths int           `json:"rest,omitempty"`
}

const (
	// FullShare is a whole way in millionths, Hundredth one part in a hundred of it.
	FullShare  = 1_000_000
	OnePercent = FullShare / 100
)

// Millionths is the part in millionths of the way.
func (w WeightedService) Millionths() int { return w.Percent*OnePercent + w.ExtraMillionths }

// RepeatPolicy says which requests of a way may run twice.
type RepeatPolicy string

// The kinds of repeat. Upload is OneShot with large bodies, Download is Repeatable with
// large returns.
const (
	ByMethod   RepeatPolicy = ""
	Repeatable RepeatPolicy = "repeatable"
	OneShot    RepeatPolicy = "one_shot"
	Upload     RepeatPolicy = "upload"
	Download   RepeatPolicy = "download"
)

var (
	// repeatableMethods lists the methods that may be run twice.
	repeatableMethods = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "TRACE": true}
	never             = func(string) bool { return false }
	always            = func(string) bool { return true }
	repeatPolicies    = map[RepeatPolicy]func(method string) bool{
		ByMethod: func(m string) bool { return repeatableMethods[m] }, Repeatable: always, Download: always, OneShot: never, Upload: never,
	}
)

// Allows tells whether a request with this method may run twice; an unknown kind may not.
func (p RepeatPolicy) Allows(method string) bool {
	allowed, ok := repeatPolicies[p]
	return ok && allowed(method)
}

// Limits bound what a caller may send and how long it may take over it or be idle.
type Limits struct {
	MaxHeaderBytes int64         `json:"headBytes"`
	MaxBodyBytes   int64         `json:"bodyBytes"`
	HeaderTimeout  time.Duration `json:"head"`
	IdleTimeout    time.Duration `json:"idle"`
}

// DefaultLimits are the limits where a manifest gives none.
var DefaultLimits = Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 8 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 90 * time.Second}

// Config is what operators want in force. Invariants: every way's service is
// there; no two ways have the same host and pathStart.
type Config struct {
	Revision ident.Epoch
	// Version is the writer's own rising number; 0 when it gives none.
	Version  uint64
	Limits   Limits
	Services map[ident.Service]Service
	Routes   []Route
}
