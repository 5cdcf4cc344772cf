package sidecar

import (
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// The pause after an endpoint was asked in vain whether it is healthy begins with minVerifyPause and
// doubles up to maxVerifyPause.
const (
	minVerifyPause = 50 * time.Millisecond
	maxVerifyPause = 400 * time.Millisecond
)

// verifyNewcomers has every endpoint asked that is known by heartbeats alone. A heartbeat may come
// seconds late, and the sign-off that followed it may have been taken by an earlier run of this
// sidecar, which has no disk: only the endpoint itself knows. One whose service names no path to ask
// counts as verified, and one whose service is not configured waits. mu is held.
func (s *Sidecar) verifyNewEndpoints() {
	config := s.planner.Config()
	for _, newcomer := range s.endpoints.Unverified() {
		if config != nil {
			service, configured := config.Services[newcomer.Service]
			if configured && service.HealthCheckPath == "" {
				s.applyEndpointChange(s.endpoints.MarkVerified(s.clock(), newcomer.Server))
				continue
			}
		}
		if !s.verifying[newcomer.Server] {
			s.verifying[newcomer.Server] = true
			go s.verify(newcomer.Server)
		}
	}
}

// verify asks an endpoint until it answers that it is healthy, or is no longer to be asked.
func (s *Sidecar) verify(server ident.Server) {
	if !s.awaitConfig() {
		return
	}
	for pause := minVerifyPause; !s.closed(); pause = min(2*pause, maxVerifyPause) {
		newcomer, path, wanted := s.endpointToVerify(server)
		if !wanted {
			return
		}
		if s.healthyServer(s.checkHealth(newcomer.Addr, path)) == server {
			s.markVerified(server)
			continue // there is nothing more to ask
		}
		s.sleep(pause)
	}
}

// newcomerToVerify returns the newest heartbeat of a server that is to be asked, and the path to ask. If
// it is not to be asked now, its verification has ended; the next configuration or heartbeat may begin
// it again.
func (s *Sidecar) endpointToVerify(server ident.Server) (newcomer endpoint.Heartbeat, path string, wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, newcomer = range s.endpoints.Unverified() {
		if newcomer.Server != server || s.leaving.Load() {
			continue
		}
		if path = s.planner.Config().Services[newcomer.Service].HealthCheckPath; path != "" {
			return newcomer, path, true
		}
	}
	delete(s.verifying, server)
	return newcomer, "", false
}

// markVerified notes that an endpoint has answered that it is healthy.
func (s *Sidecar) markVerified(server ident.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEndpointChange(s.endpoints.MarkVerified(s.clock(), server))
	s.Log.Info("endpoint verified", zap.String("server", string(server)))
}
