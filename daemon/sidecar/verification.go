package sidecar

import (
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// The pause after a failed health check of an endpoint starts at minVerifyPause and doubles up to
// maxVerifyPause.
const (
	minVerifyPause = 50 * time.Millisecond
	maxVerifyPause = 400 * time.Millisecond
)

// verifyNewEndpoints starts a health check of every endpoint that is known only by heartbeats. A
// heartbeat may arrive seconds late, when an earlier process of this sidecar has already received the
// endpoint's sign-off. The sidecar stores nothing on disk, so only a health check shows whether the
// endpoint still serves. An endpoint whose service has no health check path counts as verified, and an endpoint whose
// service is not configured must wait. The caller must hold mu.
func (s *Sidecar) verifyNewEndpoints() {
	config := s.planner.Config()
	for _, heartbeat := range s.endpoints.Unverified() {
		if config != nil {
			service, configured := config.Services[heartbeat.Service]
			if configured && service.HealthCheckPath == "" {
				s.applyEndpointChange(s.endpoints.MarkVerified(s.clock(), heartbeat.Server))
				continue
			}
		}
		if !s.verifying[heartbeat.Server] {
			s.verifying[heartbeat.Server] = true
			go s.verify(heartbeat.Server)
		}
	}
}

// verify checks the health of an endpoint until a check succeeds or is no longer needed.
func (s *Sidecar) verify(server ident.Server) {
	if !s.awaitConfig() {
		return
	}
	for pause := minVerifyPause; !s.closed(); pause = min(2*pause, maxVerifyPause) {
		heartbeat, path, wanted := s.endpointToVerify(server)
		if !wanted {
			return
		}
		if s.healthyServer(s.checkHealth(heartbeat.Addr, path)) == server {
			s.markVerified(server)
			continue // endpointToVerify ends the verification
		}
		s.sleep(pause)
	}
}

// endpointToVerify returns the latest heartbeat of a server that should be checked, and its health
// check path. If the server should not be checked now, its verification ends; the next
// configuration or heartbeat may start it again.
func (s *Sidecar) endpointToVerify(server ident.Server) (heartbeat endpoint.Heartbeat, path string, wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, heartbeat = range s.endpoints.Unverified() {
		if heartbeat.Server != server || s.leaving.Load() {
			continue
		}
		if path = s.planner.Config().Services[heartbeat.Service].HealthCheckPath; path != "" {
			return heartbeat, path, true
		}
	}
	delete(s.verifying, server)
	return heartbeat, "", false
}

// markVerified records that an endpoint has responded as healthy.
func (s *Sidecar) markVerified(server ident.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEndpointChange(s.endpoints.MarkVerified(s.clock(), server))
	s.Log.Info("endpoint verified", zap.String("server", string(server)))
}
