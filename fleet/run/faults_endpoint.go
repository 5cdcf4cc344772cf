package run

import (
	"context"
	"time"

	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/sim/scenario"
	standin "cottonarch.example/cottonarch/standin/endpoint"
)

// Behaviors of endpoints during and after a fault.
var (
	healthyBehavior = standin.Behavior{WorkTime: endpointWorkTime}
	faultyBehavior  = standin.Behavior{
		WorkTime:       endpointWorkTime,
		LostShare:      0.2,
		GarbageShare:   0.1,
		TruncatedShare: 0.1,
		MalformedShare: 0.3,
	}
	badReleaseBehavior = standin.Behavior{
		WorkTime:       endpointWorkTime,
		LostShare:      0.2,
		GarbageShare:   0.2,
		TruncatedShare: 0.2,
		MalformedShare: 0.2,
	}
)

// A late heartbeat arrives between minLateness and minLateness + latenessSpread after the endpoint
// deregistered. The endpoint continues to serve for servedAfterLateHeartbeat after the heartbeat.
const (
	minLateness              = 2500 * time.Millisecond
	latenessSpread           = 3 * time.Second
	servedAfterLateHeartbeat = 2 * time.Second
)

func (f *Fleet) randomService() scenario.Service {
	return f.Deployment.Services[f.rng.IntN(len(f.Deployment.Services))]
}

// endpointRemove shuts an endpoint down without a replacement, if two endpoints of the service remain.
func (f *Fleet) endpointRemove(context.Context) {
	if e := f.reserveEndpoint(3); e != nil {
		f.shutDownEndpoint(e)
	}
}

// endpointReplace shuts an endpoint down gracefully and starts another endpoint of the same service.
func (f *Fleet) endpointReplace(context.Context) {
	if e := f.reserveEndpoint(2); e != nil {
		f.shutDownEndpoint(e)
		f.replaceEndpoint(e)
	}
}

// endpointLateHeartbeat deregisters an endpoint that continues to serve. A heartbeat from before the
// deregistration arrives seconds later. After servedAfterLateHeartbeat the endpoint is replaced.
func (f *Fleet) endpointLateHeartbeat(ctx context.Context) {
	e := f.reserveEndpoint(2)
	if e == nil {
		return
	}
	confirmed, deliverLate := e.Deregister()
	if confirmed {
		f.mu.Lock()
		f.leaveConfirmations[e.Server] = time.Now()
		f.Checker.Observe(ruleRequestAfterLeave)
		f.mu.Unlock()
	}
	f.sleep(ctx, minLateness+time.Duration(f.rng.Int64N(int64(latenessSpread))))
	deliverLate()
	f.sleep(ctx, servedAfterLateHeartbeat)
	e.Stop(endpointStopTimeout)
	f.replaceEndpoint(e)
}

// addressReuse kills an endpoint. Two seconds later an endpoint of a random service starts at the same
// address, and a replacement of the killed endpoint at a new address.
func (f *Fleet) addressReuse(ctx context.Context) {
	e := f.reserveEndpoint(2)
	if e == nil {
		return
	}
	other := f.randomService()
	e.Kill()
	f.sleep(ctx, 2*time.Second)
	f.addEndpoint(e.sidecar, other, string(e.Addr))
	f.replaceEndpoint(e)
}

// endpointHang makes an endpoint hang for longer than the heartbeat timeout, and then resume. A hung
// endpoint still accepts connections.
func (f *Fleet) endpointHang(ctx context.Context) {
	e := f.reserveEndpoint(2)
	if e == nil {
		return
	}
	e.SetHung(true)
	// The last heartbeat may have been sent just before the hang, so the sidecar may notice the loss
	// only after the full heartbeat timeout.
	f.sleep(ctx, endpoint.MaxHeartbeatTimeout)
	f.mu.Lock()
	hang := &outage{from: time.Now(), cause: causeHung}
	f.endpointOutages[e.Server] = append(f.endpointOutages[e.Server], hang)
	f.Checker.Observe(ruleRequestAfterLeave)
	f.mu.Unlock()
	f.sleep(ctx, 4*time.Second)
	f.mu.Lock()
	hang.to, e.reserved = time.Now(), false
	f.mu.Unlock()
	e.SetHung(false)
}

// endpointFaulty makes the newest endpoint lose, garble, truncate or malform most responses for four
// seconds.
func (f *Fleet) endpointFaulty(ctx context.Context) {
	f.mu.Lock()
	available := f.availableEndpoints()
	f.mu.Unlock()
	if len(available) == 0 {
		return
	}
	e := available[len(available)-1]
	e.SetBehavior(faultyBehavior)
	f.sleep(ctx, 4*time.Second)
	e.SetBehavior(healthyBehavior)
}

// badRelease makes every endpoint of a service lose, garble, truncate or malform most responses for six
// seconds, like a faulty release of the service.
func (f *Fleet) badRelease(ctx context.Context) {
	service := f.randomService().Name
	f.mu.Lock()
	var released []*managedEndpoint
	for _, e := range f.endpoints {
		if e.Service == service {
			released = append(released, e)
		}
	}
	f.mu.Unlock()
	for _, e := range released {
		e.SetBehavior(badReleaseBehavior)
	}
	f.sleep(ctx, 6*time.Second)
	for _, e := range released {
		e.SetBehavior(healthyBehavior)
	}
}

// serviceOutage shuts down every endpoint of a service gracefully, and replaces the endpoints two
// seconds later.
func (f *Fleet) serviceOutage(ctx context.Context) {
	service := f.randomService()
	f.recordMajorOutage("all endpoints of " + string(service.Name))
	emptied := f.reserveEndpoints(func(e *managedEndpoint) bool { return e.Service == service.Name })
	forEachConcurrently(emptied, f.shutDownEndpoint)
	f.sleep(ctx, 2*time.Second)
	for _, e := range emptied {
		f.replaceEndpoint(e)
	}
}
