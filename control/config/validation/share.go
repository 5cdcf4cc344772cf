package validation

import (
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
)

// maxWeight keeps sums of weights far within what a float64 holds.
const maxWeight = 1e15

// readPercentSplit reads the parts that go to other services than the way's own.
func readPercentSplit(split decode.Object, primary ident.Service, services map[ident.Service]Service) (parts []WeightedService) {
	sum := 0
	for _, name := range split.FieldNames() {
		part := WeightedService{Service: ident.Service(name), Percent: int(split.Int(name, 0, 0, 100))}
		if _, ok := services[part.Service]; !ok {
			split.Fault(name, "there is no service %q", name)
		}
		if part.Service == primary {
			split.Fault(name, "is the way's own service")
		}
		if sum += part.Percent; sum > 100 {
			split.Fault(name, "the parts sum over 100")
		}
		parts = append(parts, part)
	}
	return parts
}

// readWeightedSplit reads a list of services with weights. The heaviest, the first by name among
// equals, is the way's own service and takes what rounding leaves. Invariant: a service
// without weight gets no part.
func readWeightedSplit(route decode.Object, services map[ident.Service]Service) (primary ident.Service, parts []WeightedService) {
	if route.Has("service") {
		route.Fault("service", "can't be given beside a list of parts")
	}
	weights, sum := []serviceWeight{}, 0.0
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
	if sum <= 0 {
		route.Fault("split", "at least one weight must be above 0")
		return "", nil
	}
	slices.SortStableFunc(weights, func(a, b serviceWeight) int { return strings.Compare(string(a.service), string(b.service)) })
	summed := weights[:1] // a service that is named twice has the sum
	for _, entry := range weights[1:] {
		if last := &summed[len(summed)-1]; last.service == entry.service {
			last.weight += entry.weight
		} else {
			summed = append(summed, entry)
		}
	}
	heaviest := summed[0]
	for _, entry := range summed {
		if entry.weight > heaviest.weight {
			heaviest = entry
		}
	}
	for _, entry := range summed {
		millionths := int(entry.weight/sum*FullShare + 1e-6) // 0.1 of the whole is 100,000, not one less
		if entry.service != heaviest.service && millionths > 0 {
			parts = append(parts, WeightedService{Service: entry.service, Percent: millionths / OnePercent, ExtraMillionths: millionths % OnePercent})
		}
	}
	return heaviest.service, parts
}

type serviceWeight struct {
	service ident.Service
	weight  float64
}
