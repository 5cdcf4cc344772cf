// Package validation reads a whole manifest into its types and names every fault.
package validation

import (
	"net"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
)

const (
	// MaxBytes is the largest manifest.
	MaxBytes        = 4 << 20
	maxServices     = 5000
	maxRoutes       = 20000
	maxCallers      = 1000
	maxNameLength   = 253
	dayMilliseconds = 86_400_000
	anyHost         = "*"
	// maxExactInteger is the largest whole number that a JSON number holds for every reader.
	maxExactInteger = 1 << 53
)

// NormalizeHost is the form hosts are compared in.
func NormalizeHost(name string) string {
	if strings.IndexByte(name, ':') >= 0 {
		if host, _, err := net.SplitHostPort(name); err == nil {
			name = host
		}
	}
	return strings.TrimSuffix(strings.ToLower(name), ".")
}

// isStrictName tells whether a text may be a name: letters and digits, with dots, dashes and
// underscores between them.
func isStrictName(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alphanumeric && (i == 0 || i == len(s)-1 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}

// isFreeName tells whether a text may be a name where the writer chooses names freely: any
// text in print without spaces.
func isFreeName(s string) bool {
	for _, c := range s {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}

// nameRules is how strictly names are read.
type nameRules struct {
	routeName, hostName func(string) bool
	serviceName         func(string) bool
}

var (
	strictNames = nameRules{isStrictName, isStrictName, func(s string) bool { return isStrictName(s) && NormalizeHost(s) == s }}
	freeNames   = nameRules{isFreeName, isFreeName, isFreeName}
)

// Strict checks a whole manifest and knows every field of it.
func Strict(document map[string]any) (*Config, *failure.Error) {
	return readConfig(document, strictNames, &decode.Faults{})
}

// Lenient checks a whole manifest that may have fields beyond those known here, and
// freer names. Invariant: what Read takes, Loose takes, and as the same; so whoever gets
// a confirmed manifest reads it loosely.
func Lenient(document map[string]any) (*Config, *failure.Error) {
	return readConfig(document, freeNames, &decode.Faults{AllowUnknown: true})
}

func readConfig(document map[string]any, rules nameRules, faults *decode.Faults) (*Config, *failure.Error) {
	root := decode.Root(document, faults)
	root.RejectUnknown("release", "limits", "services", "ways")
	config := &Config{Version: uint64(root.Int("release", 0, 0, maxExactInteger)), Limits: readLimits(root)}
	services := root.Child("services")
	serviceNames := services.FieldNames()
	if len(serviceNames) > maxServices {
		faults.Add("services", "at most %d services", maxServices)
		return nil, faults.Err(failure.Invalid)
	}
	config.Services = make(map[ident.Service]Service, len(serviceNames))
	for _, name := range serviceNames {
		if !rules.serviceName(name) {
			services.Fault(name, "a service is named by a hostname in lower case")
		}
		config.Services[ident.Service(name)] = readService(name, services.Child(name))
	}
	routes := root.Child("ways")
	routeNames := routes.FieldNames()
	if len(routeNames) > maxRoutes {
		faults.Add("ways", "at most %d ways", maxRoutes)
		return nil, faults.Err(failure.Invalid)
	}
	config.Routes = make([]Route, 0, len(routeNames))
	routeByMatch := make(map[[2]string]string, len(routeNames))
	for _, routeName := range routeNames {
		if !rules.routeName(routeName) {
			routes.Fault(routeName, "a way is named by letters, digits, dots and dashes")
		}
		object := routes.Child(routeName)
		route := readRoute(routeName, object, rules, config.Services)
		match := [2]string{route.Host, route.PathPrefix}
		if other, ok := routeByMatch[match]; ok {
			object.Fault("pathStart", "the same host and pathStart as way %q", other)
		}
		routeByMatch[match] = routeName
		config.Routes = append(config.Routes, route)
	}
	if d := faults.Err(failure.Invalid); d != nil {
		return nil, d
	}
	return config, nil
}

func readLimits(root decode.Object) Limits {
	object := root.Child("limits")
	object.RejectUnknown("headBytes", "bodyBytes", "headMs", "idleMs")
	return Limits{
		MaxHeaderBytes: object.Int("headBytes", DefaultLimits.MaxHeaderBytes, 1, maxExactInteger), MaxBodyBytes: object.Int("bodyBytes", DefaultLimits.MaxBodyBytes, 0, maxExactInteger),
		HeaderTimeout: milliseconds(object.Float("headMs", 10000, 1, dayMilliseconds)), IdleTimeout: milliseconds(object.Float("idleMs", 90000, 1, dayMilliseconds)),
	}
}

func readService(name string, object decode.Object) Service {
	object.RejectUnknown("namespace", "drainS", "reuseAfterS", "allowance", "checkPath", "connections", "protocol", "encrypted")
	service := Service{
		Hostname: ident.Service(name), Namespace: object.String("namespace", "default"),
		DrainTimeout: seconds(object.Float("drainS", 2, 0.1, 600)), AddressReuseDelay: seconds(object.Float("reuseAfterS", 2, 1, 3600)),
		HealthCheckPath: object.String("checkPath", ""), MaxConnections: int(object.Int("connections", 0, 0, 1<<31-1)),
	}
	if service.HealthCheckPath != "" && !strings.HasPrefix(service.HealthCheckPath, "/") {
		object.Fault("checkPath", "must begin with /")
	}
	if object.String("protocol", "h1") != "h1" {
		object.Fault("protocol", "must be h1")
	}
	if object.Bool("encrypted", false) {
		object.Fault("encrypted", "endpoints are spoken to without encryption only")
	}
	retryBudget := object.Child("allowance")
	retryBudget.RejectUnknown("part", "callers")
	service.RetryRatio = retryBudget.Float("part", 0.2, 0, 0.2)
	callers := retryBudget.Child("callers")
	callerNames := callers.FieldNames()
	if len(callerNames) > maxCallers {
		retryBudget.Fault("callers", "at most %d callers", maxCallers)
	}
	for _, caller := range callerNames {
		if service.CallerWeights == nil {
			service.CallerWeights = map[string]float64{}
		}
		service.CallerWeights[caller] = callers.Float(caller, 1, 0, 1000)
	}
	return service
}

func readRoute(name string, object decode.Object, rules nameRules, services map[ident.Service]Service) Route {
	object.RejectUnknown("host", "pathStart", "service", "urgent", "timeoutMs", "tries", "split", "repeat", "aimMs", "rank")
	route := Route{
		Name: name, Host: object.RequiredString("host"), PathPrefix: object.String("pathStart", "/"), Urgent: object.Bool("urgent", false),
		Repeat: RepeatPolicy(object.String("repeat", "")), TargetLatency: milliseconds(object.Float("aimMs", 0, 0, dayMilliseconds)), Timeout: milliseconds(object.Float("timeoutMs", 5000, 0, dayMilliseconds)),
		MaxAttempts: int(object.Int("tries", 3, 1, 100)),
	}
	defaultPriority := int64(2)
	if route.Urgent {
		defaultPriority = 0
	}
	route.Priority = int(object.Int("rank", defaultPriority, 0, 1<<31-1))
	if route.Timeout <= 0 {
		object.Fault("timeoutMs", "must be above 0")
	}
	if _, ok := repeatPolicies[route.Repeat]; !ok || route.Repeat == ByMethod && object.Has("repeat") {
		object.Fault("repeat", "must be repeatable, one_shot, upload or download")
	}
	if route.Host != "" && route.Host != anyHost && !rules.hostName(route.Host) {
		object.Fault("host", "must be a host name without port, or *")
	}
	route.Host = NormalizeHost(route.Host)
	if !strings.HasPrefix(route.PathPrefix, "/") || len(route.PathPrefix) > 2048 || strings.ContainsAny(route.PathPrefix, "?# ") {
		object.Fault("pathStart", "must begin with / and hold no query")
	}
	if object.Is("split") {
		route.Service, route.Split = readWeightedSplit(object, services)
		return route
	}
	route.Service = ident.Service(object.RequiredString("service"))
	if _, ok := services[route.Service]; !ok && route.Service != "" {
		object.Fault("service", "there is no service %q", route.Service)
	}
	route.Split = readPercentSplit(object.Child("split"), route.Service, services)
	return route
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
