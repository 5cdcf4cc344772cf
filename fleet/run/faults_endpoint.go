package run

import (
	"context"
	"time"

	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/sim/scenario"
	standin "cottonarch.example/cottonarch/standin/endpoint"
)

// Behaviour of faulty endpoints.
var (
	healthyBehavior = standin.Behavior{WorkTime: endpointWork}
	badBehavior     = standin.Behavior{
		WorkTime:       endpointWork,
		LostShare:      0.2,
		GarbageShare:   0.1,
		TruncatedShare: 0.1,
		MalformedShare: 0.3,
	}
	badReleaseBehavior = standin.Behavior{
		WorkTime:       endpointWork,
		LostShare:      0.2,
		GarbageShare:   0.2,
		TruncatedShare: 0.2,
		MalformedShare: 0.2,
	}
)

// A late heartbeat comes minLateness to minLateness + latenessSpread after the sign-off, and its endpoint
// serves on for servedAfterLateHeartbeat.
const (
	minLateness              = 2500 * time.Millisecond
	latenessSpread           = 3 * time.Second
	servedAfterLateHeartbeat = 2 * time.Second
)

func (f *Fleet) randomService() scenario.Service {
	return f.Deployment.Services[f.rng.IntN(len(f.Deployment.Services))]
}

// endpointRemove ends an endpoint for good, if its service keeps two.
func (f *Fleet) endpointRemove(context.Context) {
	if e := f.takeEndpoint(3); e != nil {
		f.leaveEndpoint(e)
	}
}

// endpointReplace ends an endpoint as planned and starts another of its service.
func (f *Fleet) endpointReplace(context.Context) {
	if e := f.takeEndpoint(2); e != nil {
		f.leaveEndpoint(e)
		f.replaceEndpoint(e)
	}
}

// endpointLateHeartbeat has an endpoint sign off and serve on. A heartbeat that it sent before comes
// seconds later; if nothing else ends it meanwhile, the endpoint is replaced after some more.
func (f *Fleet) endpointLateHeartbeat(ctx context.Context) {
	e := f.takeEndpoint(2)
	if e == nil {
		return
	}
	confirmed, deliverLate := e.Deregister()
	if confirmed {
		f.mu.Lock()
		f.leftAt[e.Server] = time.Now()
		f.Checker.Observe(ruleLateToLeaver)
		f.mu.Unlock()
	}
	f.sleep(ctx, minLateness+time.Duration(f.rng.Int64N(int64(latenessSpread))))
	deliverLate()
	f.sleep(ctx, servedAfterLateHeartbeat)
	e.Stop(endpointStopTimeout)
	f.replaceEndpoint(e)
}

// addressReuse kills an endpoint; two seconds later its address serves another service.
func (f *Fleet) addressReuse(ctx context.Context) {
	e := f.takeEndpoint(2)
	if e == nil {
		return
	}
	other := f.randomService()
	e.Kill()
	f.sleep(ctx, 2*time.Second)
	f.addEndpoint(e.sidecar, other, string(e.Addr))
	f.replaceEndpoint(e)
}

// endpointHang makes an endpoint hang, while its connections are still accepted, for longer
// than its silence is tolerated, and then wake.
func (f *Fleet) endpointHang(ctx context.Context) {
	e := f.takeEndpoint(2)
	if e == nil {
		return
	}
	e.SetHung(true)
	// Its last heartbeat may have been sent just before: then its loss shows only after the timeout.
	f.sleep(ctx, endpoint.MaxHeartbeatTimeout)
	f.mu.Lock()
	hang := &outage{from: time.Now(), cause: causeHung}
	f.endpointOutages[e.Server] = append(f.endpointOutages[e.Server], hang)
	f.Checker.Observe(ruleLateToLeaver)
	f.mu.Unlock()
	f.sleep(ctx, 4*time.Second)
	f.mu.Lock()
	hang.to, e.unavailable = time.Now(), false
	f.mu.Unlock()
	e.SetHung(false)
}

// endpointBad makes the newest endpoint lose, garble or truncate most responses.
func (f *Fleet) endpointBad(ctx context.Context) {
	f.mu.Lock()
	available := f.availableEndpoints()
	f.mu.Unlock()
	if len(available) == 0 {
		return
	}
	e := available[len(available)-1]
	e.SetBehavior(badBehavior)
	f.sleep(ctx, 4*time.Second)
	e.SetBehavior(healthyBehavior)
}

// releaseBad makes every endpoint of a service lose, garble or truncate most responses, as
// a bad release would.
func (f *Fleet) releaseBad(ctx context.Context) {
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

// serviceEmpty ends every endpoint of a service, as planned, and fills it again.
func (f *Fleet) serviceEmpty(ctx context.Context) {
	service := f.randomService()
	f.recordLoss("all endpoints of " + string(service.Name))
	emptied := f.takeEndpoints(func(e *managedEndpoint) bool { return e.Service == service.Name })
	forEach(emptied, f.leaveEndpoint)
	f.sleep(ctx, 2*time.Second)
	for _, e := range emptied {
		f.replaceEndpoint(e)
	}
}
