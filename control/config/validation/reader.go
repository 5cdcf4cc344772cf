package validation

import (
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
)

const (
	// MaxBytes bounds the size of a stored configuration.
	MaxBytes      = 4 << 20
	maxServices   = 5000
	maxRoutes     = 20000
	maxCallers    = 1000
	maxPathPrefix = 2048
	// maxRetryRatio bounds the ratio of retries to requests of a service.
	maxRetryRatio = 0.2
	// maxInt32 bounds numbers that are converted to int, which may have 32 bits.
	maxInt32           = 1<<31 - 1
	millisecondsPerDay = 86_400_000
	// maxExactInteger is the largest integer up to which every JSON reader represents all integers
	// exactly.
	maxExactInteger = 1 << 53
)

// Defaults and bounds of a service's settings; times are in seconds.
const (
	defaultDrainSeconds = 2
	minDrainSeconds     = 0.1
	maxDrainSeconds     = 600
	defaultReuseSeconds = 2
	minReuseSeconds     = 1
	maxReuseSeconds     = 3600
	// maxCallerWeight bounds the weight of one caller of a service.
	maxCallerWeight = 1000
)

// Defaults and bounds of a route's settings.
const (
	defaultTimeoutMs   = 5000
	defaultMaxAttempts = 3
	// maxAttemptsLimit bounds the attempts that a route may allow.
	maxAttemptsLimit = 100
)

// The priorities of routes that do not set a priority.
const (
	urgentPriority  = 0
	defaultPriority = 2
)

// Strict validates a document, and rejects unknown fields and names with characters other than
// letters, digits, dots, dashes and underscores.
func Strict(document map[string]any) (*Config, *failure.Error) {
	return readConfig(document, strictNames, &decode.Faults{})
}

// Lenient validates a document that may have unknown fields and names with any characters other
// than spaces and control characters. Invariant: Lenient accepts every document that Strict
// accepts, with the same result, so every receiver of an accepted configuration uses Lenient.
func Lenient(document map[string]any) (*Config, *failure.Error) {
	return readConfig(document, lenientNames, &decode.Faults{AllowUnknown: true})
}

func readConfig(document map[string]any, rules nameRules, faults *decode.Faults) (*Config, *failure.Error) {
	root := decode.Root(document, faults)
	root.RejectUnknown("release", "limits", "services", "ways")
	config := &Config{Version: uint64(root.Int("release", 0, 0, maxExactInteger)), Limits: readLimits(root)}
	services := root.Child("services")
	if len(services.Fields()) > maxServices {
		faults.Add("services", "at most %d services", maxServices)
		return nil, faults.Err(failure.Invalid)
	}
	config.Services = readServices(services, rules)
	routes := root.Child("ways")
	if len(routes.Fields()) > maxRoutes {
		faults.Add("ways", "at most %d routes", maxRoutes)
		return nil, faults.Err(failure.Invalid)
	}
	config.Routes = readRoutes(routes, rules, config.Services)
	if err := faults.Err(failure.Invalid); err != nil {
		return nil, err
	}
	return config, nil
}

func readLimits(root decode.Object) Limits {
	object := root.Child("limits")
	object.RejectUnknown("headBytes", "bodyBytes", "headMs", "idleMs")
	return Limits{
		MaxHeaderBytes: object.Int("headBytes", DefaultLimits.MaxHeaderBytes, 1, maxExactInteger),
		MaxBodyBytes:   object.Int("bodyBytes", DefaultLimits.MaxBodyBytes, 0, maxExactInteger),
		HeaderTimeout:  milliseconds(object.Float("headMs", float64(DefaultLimits.HeaderTimeout.Milliseconds()), 1, millisecondsPerDay)),
		IdleTimeout:    milliseconds(object.Float("idleMs", float64(DefaultLimits.IdleTimeout.Milliseconds()), 1, millisecondsPerDay)),
	}
}

func readServices(object decode.Object, rules nameRules) map[ident.Service]Service {
	names := object.FieldNames()
	services := make(map[ident.Service]Service, len(names))
	for _, name := range names {
		if !rules.serviceName(name) {
			object.Fault(name, "a service name must be a lower-case host name")
		}
		services[ident.Service(name)] = readService(name, object.Child(name))
	}
	return services
}

func readService(name string, object decode.Object) Service {
	object.RejectUnknown("namespace", "drainS", "reuseAfterS", "allowance", "checkPath", "connections", "protocol", "encrypted")
	service := Service{
		Hostname:          ident.Service(name),
		Namespace:         object.String("namespace", "default"),
		DrainTimeout:      seconds(object.Float("drainS", defaultDrainSeconds, minDrainSeconds, maxDrainSeconds)),
		AddressReuseDelay: seconds(object.Float("reuseAfterS", defaultReuseSeconds, minReuseSeconds, maxReuseSeconds)),
		HealthCheckPath:   object.String("checkPath", ""),
		MaxConnections:    int(object.Int("connections", 0, 0, maxInt32)),
	}
	if service.HealthCheckPath != "" && !strings.HasPrefix(service.HealthCheckPath, "/") {
		object.Fault("checkPath", "must begin with /")
	}
	if object.String("protocol", "h1") != "h1" {
		object.Fault("protocol", "must be h1")
	}
	if object.Bool("encrypted", false) {
		object.Fault("encrypted", "encrypted connections to endpoints are not supported")
	}
	service.RetryRatio, service.CallerWeights = readRetryBudget(object.Child("allowance"))
	return service
}

func readRetryBudget(object decode.Object) (ratio float64, callerWeights map[string]float64) {
	object.RejectUnknown("part", "callers")
	ratio = object.Float("part", maxRetryRatio, 0, maxRetryRatio)
	callers := object.Child("callers")
	names := callers.FieldNames()
	if len(names) > maxCallers {
		object.Fault("callers", "at most %d callers", maxCallers)
	}
	for _, name := range names {
		if callerWeights == nil {
			callerWeights = map[string]float64{}
		}
		callerWeights[name] = callers.Float(name, 1, 0, maxCallerWeight)
	}
	return ratio, callerWeights
}

// routeMatch is the match of a route. No two routes may have the same match.
type routeMatch struct{ host, pathPrefix string }

func readRoutes(object decode.Object, rules nameRules, services map[ident.Service]Service) []Route {
	names := object.FieldNames()
	routes := make([]Route, 0, len(names))
	nameByMatch := make(map[routeMatch]string, len(names))
	for _, name := range names {
		if !rules.routeName(name) {
			object.Fault(name, "a route name must consist of letters, digits, dots, dashes and underscores")
		}
		routeObject := object.Child(name)
		route := readRoute(name, routeObject, rules, services)
		match := routeMatch{route.Host, route.PathPrefix}
		if other, ok := nameByMatch[match]; ok {
			routeObject.Fault("pathStart", "host and pathStart are the same as in route %q", other)
		}
		nameByMatch[match] = name
		routes = append(routes, route)
	}
	return routes
}

func readRoute(name string, object decode.Object, rules nameRules, services map[ident.Service]Service) Route {
	object.RejectUnknown("host", "pathStart", "service", "urgent", "timeoutMs", "tries", "split", "repeat", "aimMs", "rank")
	route := Route{
		Name:          name,
		Host:          object.RequiredString("host"),
		PathPrefix:    object.String("pathStart", "/"),
		Urgent:        object.Bool("urgent", false),
		Repeat:        RepeatPolicy(object.String("repeat", "")),
		TargetLatency: milliseconds(object.Float("aimMs", 0, 0, millisecondsPerDay)),
		Timeout:       milliseconds(object.Float("timeoutMs", defaultTimeoutMs, 0, millisecondsPerDay)),
		MaxAttempts:   int(object.Int("tries", defaultMaxAttempts, 1, maxAttemptsLimit)),
	}
	priority := int64(defaultPriority)
	if route.Urgent {
		priority = urgentPriority
	}
	route.Priority = int(object.Int("rank", priority, 0, maxInt32))
	if route.Timeout <= 0 {
		object.Fault("timeoutMs", "must be above 0")
	}
	if _, ok := repeatPolicies[route.Repeat]; !ok || route.Repeat == ByMethod && object.Has("repeat") {
		object.Fault("repeat", "must be repeatable, one_shot, upload or download")
	}
	if route.Host != "" && route.Host != anyHost && !rules.hostName(route.Host) {
		object.Fault("host", "must be a host name without a port, or *")
	}
	route.Host = NormalizeHost(route.Host)
	if !strings.HasPrefix(route.PathPrefix, "/") || len(route.PathPrefix) > maxPathPrefix || strings.ContainsAny(route.PathPrefix, "?# ") {
		object.Fault("pathStart", "must begin with /, contain no ?, # or space, and have at most %d bytes", maxPathPrefix)
	}
	route.Service, route.Split = readDestinations(object, services)
	return route
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
