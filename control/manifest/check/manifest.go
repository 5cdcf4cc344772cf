package check

import (
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
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
	// CheckPath is where an endpoint says whether it is well; empty when it has none.
	CheckPath string `json:"checkPath,omitempty"`
	// Connections caps the connections to one endpoint; 0 is no cap.
	Connections int `json:"connections,omitempty"`
}

// Way sends a host and path to a service.
type Way struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	PathStart string `json:"pathStart"`
	// Service takes what Split leaves.
	Service ident.Service `json:"service"`
	Urgent  bool          `json:"urgent,omitempty"`
	// Repeat says what may run twice; empty leaves it to the method.
	Repeat Repeat `json:"repeat,omitempty"`
	// Rank orders ways under burden, 0 first.
	Rank int `json:"rank"`
	// Aim is when an answer earns its full worth; 0 is none.
	Aim time.Duration `json:"aim,omitempty"`
	// Split sends parts of the way to other services. Invariant: in order of service,
	// at most the whole in sum, never Service itself.
	Split []Split       `json:"split,omitempty"`
	Limit time.Duration `json:"limit"`
	Tries int           `json:"tries"`
}

// Split is a part of a way: Percent hundredths and, beside them, Rest millionths.
// Invariant: Rest is below one hundredth.
type Split struct {
	Service ident.Service `json:"service"`
	Percent int           `json:"percent"`
	Rest    int           `json:"rest,omitempty"`
}

const (
	// Whole is a whole way in millionths, Hundredth one part in a hundred of it.
	Whole     = 1_000_000
	Hundredth = Whole / 100
)

// Millionths is the part in millionths of the way.
func (s Split) Millionths() int { return s.Percent*Hundredth + s.Rest }

// Repeat says which requests of a way may run twice.
type Repeat string

// The kinds of repeat. Upload is OneShot with large bodies, Download is Repeatable with
// large returns.
const (
	ByMethod   Repeat = ""
	Repeatable Repeat = "repeatable"
	OneShot    Repeat = "one_shot"
	Upload     Repeat = "upload"
	Download   Repeat = "download"
)

var (
	// safe lists the methods that may be run twice.
	safe    = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "TRACE": true}
	never   = func(string) bool { return false }
	always  = func(string) bool { return true }
	repeats = map[Repeat]func(method string) bool{
		ByMethod: func(m string) bool { return safe[m] }, Repeatable: always, Download: always, OneShot: never, Upload: never,
	}
)

// Safe tells whether a request with this method may run twice; an unknown kind may not.
func (r Repeat) Safe(method string) bool {
	may, ok := repeats[r]
	return ok && may(method)
}

// Limits bound what a caller may send and how long it may take over it or be idle.
type Limits struct {
	HeadBytes int64         `json:"headBytes"`
	BodyBytes int64         `json:"bodyBytes"`
	Head      time.Duration `json:"head"`
	Idle      time.Duration `json:"idle"`
}

// Usual are the limits where a manifest gives none.
var Usual = Limits{HeadBytes: 64 << 10, BodyBytes: 8 << 20, Head: 10 * time.Second, Idle: 90 * time.Second}

// Manifest is what operators want in force. Invariants: every way's service is
// there; no two ways have the same host and pathStart.
type Manifest struct {
	Epoch ident.Epoch
	// Release is the writer's own rising number; 0 when it gives none.
	Release  uint64
	Limits   Limits
	Services map[ident.Service]Service
	Ways     []Way
}
