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
	minVerifyPause = 100 * time.Millisecond
	maxVerifyPause = 1600 * time.Millisecond
)

// verifyNewcomers has every endpoint asked that is known by heartbeats alone. A heartbeat may come
// seconds late, and the sign-off that followed it may have been taken by an earlier run of this
// sidecar, which has no disk: only the endpoint itself knows. mu is held.
func (s *Sidecar) verifyNewcomers() {
	for _, heartbeat := range s.endpoints.Unverified() {
		if !s.verifying[heartbeat.Server] {
			s.verifying[heartbeat.Server] = true
			go s.verify(heartbeat.Server)
		}
	}
}

// verify asks an endpoint until it answers that it is healthy, or is no longer to be asked.
func (s *Sidecar) verify(server ident.Server) {
	defer s.endVerification(server)
	if !s.awaitConfig() {
		return
	}
	for pause := minVerifyPause; !s.closing(); pause = min(2*pause, maxVerifyPause) {
		newcomer, path, wanted := s.newcomerToVerify(server)
		if !wanted {
			return
		}
		if path != "" && s.healthyServer(s.askHealth(newcomer.Addr, path)) == server {
			s.markVerified(server)
			return
		}
		s.sleep(pause)
	}
}

// newcomerToVerify returns the newest heartbeat of a server that is to be asked, and the path to ask;
// it is "" while the service is not configured. A server of a service without such a path counts as
// verified.
func (s *Sidecar) newcomerToVerify(server ident.Server) (newcomer endpoint.Heartbeat, path string, wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, heartbeat := range s.endpoints.Unverified() {
		if heartbeat.Server != server || s.leaving.Load() {
			continue
		}
		service, configured := s.planner.Config().Services[heartbeat.Service]
		if configured && service.HealthCheckPath == "" {
			s.applyEndpointChange(s.endpoints.Verified(s.clock(), server))
			return heartbeat, "", false
		}
		return heartbeat, service.HealthCheckPath, true
	}
	return newcomer, "", false
}

// markVerified notes that an endpoint has answered that it is healthy.
func (s *Sidecar) markVerified(server ident.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEndpointChange(s.endpoints.Verified(s.clock(), server))
	s.Log.Info("endpoint verified", zap.String("server", string(server)))
}

func (s *Sidecar) endVerification(server ident.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.verifying, server)
}
