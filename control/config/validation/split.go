package validation

import (
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
)

const (
	// maxWeight keeps sums of weights far below the largest float64.
	maxWeight = 1e15
	// roundingTolerance compensates for the rounding error of a quotient, so that 0.1 of a route
	// is 100,000 millionths and not one millionth less.
	roundingTolerance = 1e-6
)

// serviceWeight is a service with its weight in a list of destinations.
type serviceWeight struct {
	service ident.Service
	weight  float64
}

// readDestinations reads the services of a route. The document has either a list of weighted
// services, or a primary service with the percentages of other services.
func readDestinations(route decode.Object, services map[ident.Service]Service) (primary ident.Service, parts []WeightedService) {
	if route.IsList("split") {
		return readWeightedSplit(route, services)
	}
	primary = ident.Service(route.RequiredString("service"))
	if _, ok := services[primary]; !ok && primary != "" {
		route.Fault("service", "there is no service %q", primary)
	}
	return primary, readPercentSplit(route.Child("split"), primary, services)
}

// readPercentSplit reads the percentages of requests that go to services other than the primary
// service.
func readPercentSplit(split decode.Object, primary ident.Service, services map[ident.Service]Service) (parts []WeightedService) {
	sum := 0
	for _, name := range split.FieldNames() {
		part := WeightedService{Service: ident.Service(name), Percent: int(split.Int(name, 0, 0, 100))}
		if _, ok := services[part.Service]; !ok {
			split.Fault(name, "there is no service %q", name)
		}
		if part.Service == primary {
			split.Fault(name, "is the service of the route and must not be in its split")
		}
		if sum += part.Percent; sum > 100 {
			split.Fault(name, "the percentages sum to more than 100")
		}
		parts = append(parts, part)
	}
	return parts
}

// readWeightedSplit reads a list of services with weights. The service with the largest weight
// becomes the primary service and receives the remainder after rounding; among equal weights, the
// first name wins. Invariant: a service with weight 0 gets no share.
func readWeightedSplit(route decode.Object, services map[ident.Service]Service) (primary ident.Service, parts []WeightedService) {
	weights, sum := readWeights(route, services)
	if sum <= 0 {
		route.Fault("split", "at least one weight must be above 0")
		return "", nil
	}
	weights = mergeByService(weights)
	heaviest := weights[0]
	for _, entry := range weights {
		if entry.weight > heaviest.weight {
			heaviest = entry
		}
	}
	for _, entry := range weights {
		millionths := int(entry.weight/sum*FullShare + roundingTolerance)
		if entry.service != heaviest.service && millionths > 0 {
			parts = append(parts, WeightedService{
				Service:         entry.service,
				Percent:         millionths / OnePercent,
				ExtraMillionths: millionths % OnePercent,
			})
		}
	}
	return heaviest.service, parts
}

// readWeights reads the list of weighted services and returns the sum of the weights.
func readWeights(route decode.Object, services map[ident.Service]Service) (weights []serviceWeight, sum float64) {
	if route.Has("service") {
		route.Fault("service", "must not be given together with a list of weighted services")
	}
	for _, object := range route.Objects("split") {
		object.RejectUnknown("service", "weight")
		service := ident.Service(object.RequiredString("service"))
		if _, ok := services[service]; !ok && service != "" {
			object.Fault("service", "there is no service %q", service)
		}
		if !object.Has("weight") {
			object.Fault("weight", "must be given")
		}
		entry := serviceWeight{service, object.Float("weight", 0, 0, maxWeight)}
		weights = append(weights, entry)
		sum += entry.weight
	}
	return weights, sum
}

// mergeByService sorts the weights by service and sums the weights of a service that is listed more
// than once. The result reuses the slice of weights.
func mergeByService(weights []serviceWeight) []serviceWeight {
	slices.SortStableFunc(weights, func(a, b serviceWeight) int { return strings.Compare(string(a.service), string(b.service)) })
	merged := weights[:1]
	for _, entry := range weights[1:] {
		if last := &merged[len(merged)-1]; last.service == entry.service {
			last.weight += entry.weight
		} else {
			merged = append(merged, entry)
		}
	}
	return merged
}
