package check

import (
	"slices"
	"strings"

	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/ident"
)

// weightMax keeps sums of weights far within what a float64 holds.
const weightMax = 1e15

// hundredths reads the parts that go to other services than the way's own.
func hundredths(split walk.Step, own ident.Service, services map[ident.Service]Service) (out []Split) {
	sum := 0
	for _, to := range split.Names() {
		p := Split{Service: ident.Service(to), Percent: int(split.Whole(to, 0, 0, 100))}
		if _, ok := services[p.Service]; !ok {
			split.Fault(to, "there is no service %q", to)
		}
		if p.Service == own {
			split.Fault(to, "is the way's own service")
		}
		if sum += p.Percent; sum > 100 {
			split.Fault(to, "the parts sum over 100")
		}
		out = append(out, p)
	}
	return out
}

// shares reads a list of services with weights. The heaviest, the first by name among
// equals, is the way's own service and takes what rounding leaves. Invariant: a service
// without weight gets no part.
func shares(w walk.Step, services map[ident.Service]Service) (own ident.Service, out []Split) {
	if w.Has("service") {
		w.Fault("service", "can't be given beside a list of parts")
	}
	list, sum := []share{}, 0.0
	for _, s := range w.Each("split") {
		s.Only("service", "weight")
		to := ident.Service(s.Must("service"))
		if _, ok := services[to]; !ok && to != "" {
			s.Fault("service", "there is no service %q", to)
		}
		if !s.Has("weight") {
			s.Fault("weight", "must be given")
		}
		x := share{to, s.Real("weight", 0, 0, weightMax)}
		list = append(list, x)
		sum += x.weight
	}
	if sum <= 0 {
		w.Fault("split", "at least one weight must be above 0")
		return "", nil
	}
	slices.SortStableFunc(list, func(a, b share) int { return strings.Compare(string(a.to), string(b.to)) })
	one := list[:1] // a service that is named twice has the sum
	for _, x := range list[1:] {
		if last := &one[len(one)-1]; last.to == x.to {
			last.weight += x.weight
		} else {
			one = append(one, x)
		}
	}
	top := one[0]
	for _, x := range one {
		if x.weight > top.weight {
			top = x
		}
	}
	for _, x := range one {
		part := int(x.weight/sum*Whole + 1e-6) // 0.1 of the whole is 100,000, not one less
		if x.to != top.to && part > 0 {
			out = append(out, Split{Service: x.to, Percent: part / Hundredth, Rest: part % Hundredth})
		}
	}
	return top.to, out
}

type share struct {
	to     ident.Service
	weight float64
}
