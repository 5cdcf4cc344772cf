package sidecar

import (
	"net/http"
	"sync/atomic"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/wire/response"
)

// headerFieldBytes is the size of a header field beyond its name and value: ": " and CRLF.
const headerFieldBytes = 4

// bodyBudget bounds the size of single requests and the memory that all request bodies take
// together.
type bodyBudget struct {
	limits   atomic.Pointer[validation.Limits] // limits of the active configuration; nil means the defaults
	inFlight atomic.Int64                      // total bytes of the request bodies in memory
}

func (b *bodyBudget) currentLimits() validation.Limits {
	if limits := b.limits.Load(); limits != nil {
		return *limits
	}
	return validation.DefaultLimits
}

// readRequest reads the whole body of a request within the limits of the configuration and the
// memory budget for bodies. The caller must call release when the request has ended.
func (s *Sidecar) readRequest(r *http.Request) (body []byte, release func(), fail *failure.Error) {
	limits := s.bodies.currentLimits()
	if headerBytes(r) > limits.MaxHeaderBytes+meshHeaderBytes {
		return nil, nil, failure.New(failure.Oversize, "the request headers exceed the limit of %d bytes", limits.MaxHeaderBytes)
	}
	// A body of unknown length may be as large as the limit; its size is counted after reading.
	declared := max(0, r.ContentLength)
	if declared > limits.MaxBodyBytes {
		return nil, nil, failure.New(failure.Oversize, "the request body exceeds the limit of %d bytes", limits.MaxBodyBytes)
	}
	budget := s.Settings.MaxBodyBytes
	if s.bodies.inFlight.Add(declared) > budget && budget > 0 && declared > 0 {
		s.bodies.inFlight.Add(-declared)
		s.count(counterBodiesRejected)
		return nil, nil, bodyBudgetExceeded()
	}
	maxBytes := limits.MaxBodyBytes
	if budget > 0 {
		maxBytes = min(maxBytes, max(declared, budget-s.bodies.inFlight.Load()+declared))
	}
	if body, fail = response.ReadBody(r, maxBytes); fail != nil {
		s.bodies.inFlight.Add(-declared)
		if fail.Kind == failure.Oversize && maxBytes < limits.MaxBodyBytes {
			fail = bodyBudgetExceeded()
		}
		return nil, nil, fail
	}
	size := int64(len(body))
	s.bodies.inFlight.Add(size - declared)
	return body, func() { s.bodies.inFlight.Add(-size) }, nil
}

func bodyBudgetExceeded() *failure.Error {
	return failure.New(failure.Busy, "the memory budget for request bodies is exhausted").WithRetryAfter(retryAfterSeconds)
}

// headerBytes approximates the size of a request's request line and headers.
func headerBytes(r *http.Request) int64 {
	size := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + headerFieldBytes)
		}
	}
	return size
}
