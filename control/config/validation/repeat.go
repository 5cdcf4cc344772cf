package validation

// RepeatPolicy determines which requests of a route may be executed twice.
type RepeatPolicy string

// The repeat policies. ByMethod allows the safe methods only, Repeatable allows all requests and
// OneShot allows none. Upload is OneShot for large request bodies, Download is Repeatable for large
// response bodies.
const (
	ByMethod   RepeatPolicy = ""
	Repeatable RepeatPolicy = "repeatable"
	OneShot    RepeatPolicy = "one_shot"
	Upload     RepeatPolicy = "upload"
	Download   RepeatPolicy = "download"
)

// repeatableMethods lists the methods that RFC 9110 defines as safe.
var repeatableMethods = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "TRACE": true}

var (
	never  = func(string) bool { return false }
	always = func(string) bool { return true }
	// repeatPolicies holds, for each policy, the function that decides whether a method may be
	// executed twice.
	repeatPolicies = map[RepeatPolicy]func(method string) bool{
		ByMethod:   func(method string) bool { return repeatableMethods[method] },
		Repeatable: always,
		Download:   always,
		OneShot:    never,
		Upload:     never,
	}
)

// Allows reports whether a request with the given method may be executed twice. An unknown policy
// allows no repeated execution.
func (p RepeatPolicy) Allows(method string) bool {
	allowed, ok := repeatPolicies[p]
	return ok && allowed(method)
}
