package endpoint

import (
	"fmt"
	"strings"
	"time"
)

// LongWorkTime is the work time of a long request.
const LongWorkTime = 1800 * time.Millisecond

// Behavior configures how an endpoint handles requests. The shares are of all requests, from 0 to 1.
type Behavior struct {
	// WorkTime is how long the execution of a request takes.
	WorkTime time.Duration
	// LostShare is the share of requests that are executed and get no response.
	LostShare float64
	// GarbageShare is the share of requests that get bytes that are not an HTTP response.
	GarbageShare float64
	// TruncatedShare is the share of requests that get half of the response body.
	TruncatedShare float64
	// MalformedShare is the share of requests that get a response that no endpoint should send: two
	// responses, a wrong Content-Length, many 1xx responses, or a head without the body.
	MalformedShare float64
	// LongShare is the share of requests that take LongWorkTime.
	LongShare float64
	// Release, if set, blocks requests after their work time until the channel is closed.
	Release chan struct{}
}

// responseFault is a fault that the endpoint injects into a response.
type responseFault int

const (
	noFault responseFault = iota
	lostResponse
	garbageResponse
	truncatedResponse
	malformedResponse
)

// chooseFault chooses the fault of a response by a random number from [0, 1).
func (b *Behavior) chooseFault(draw float64) responseFault {
	candidates := []struct {
		share float64
		responseFault
	}{
		{b.LostShare, lostResponse},
		{b.GarbageShare, garbageResponse},
		{b.TruncatedShare, truncatedResponse},
		{b.MalformedShare, malformedResponse},
	}
	for _, candidate := range candidates {
		if draw < candidate.share {
			return candidate.responseFault
		}
		draw -= candidate.share
	}
	return noFault
}

// malformedVariants derive malformed responses from a complete response and the response's body.
var malformedVariants = []func(whole, body string) string{
	func(whole, _ string) string { return whole + strings.Replace(whole, `"id":"`, `"id":"other-`, 1) },
	func(whole, body string) string { return withContentLength(whole, len(body), -20) },
	func(whole, body string) string { return withContentLength(whole, len(body), +20) },
	func(whole, _ string) string { return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40) + whole },
	func(whole, body string) string { return strings.TrimSuffix(whole, body) },
}

// withContentLength returns the response with the Content-Length changed by the given number.
func withContentLength(response string, length, change int) string {
	return strings.Replace(response, fmt.Sprint("Content-Length: ", length), fmt.Sprint("Content-Length: ", length+change), 1)
}
