package endpoint

import (
	"fmt"
	"strings"
	"time"
)

// LongWorkTime is how long a long request takes.
const LongWorkTime = 1800 * time.Millisecond

// Behavior is how an endpoint treats its requests. The shares are of all requests, from 0 to 1.
type Behavior struct {
	// WorkTime is how long a request takes.
	WorkTime time.Duration
	// LostShare of the requests are executed and get no response.
	LostShare float64
	// GarbageShare get bytes that are no response.
	GarbageShare float64
	// TruncatedShare get half of their response.
	TruncatedShare float64
	// MalformedShare get something that no endpoint should send: a second response, a wrong
	// length, many 1xx, a head without its body.
	MalformedShare float64
	// LongShare take LongWorkTime.
	LongShare float64
	// Release, when set, is closed to let requests end after their work.
	Release chan struct{}
}

// corruption is how a response is corrupted on purpose.
type corruption int

const (
	intact corruption = iota
	lost
	garbage
	truncated
	malformed
)

// corruption chooses how a response is corrupted, by a number drawn from [0, 1).
func (b *Behavior) corruption(draw float64) corruption {
	candidates := []struct {
		share float64
		corruption
	}{
		{b.LostShare, lost},
		{b.GarbageShare, garbage},
		{b.TruncatedShare, truncated},
		{b.MalformedShare, malformed},
	}
	for _, candidate := range candidates {
		if draw < candidate.share {
			return candidate.corruption
		}
		draw -= candidate.share
	}
	return intact
}

// malformedResponses make malformed responses of a complete response and its body.
var malformedResponses = []func(whole, body string) string{
	func(whole, _ string) string { return whole + strings.Replace(whole, `"id":"`, `"id":"other-`, 1) },
	func(whole, body string) string { return withLength(whole, len(body), -20) },
	func(whole, body string) string { return withLength(whole, len(body), +20) },
	func(whole, _ string) string { return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40) + whole },
	func(whole, body string) string { return strings.TrimSuffix(whole, body) },
}

// withLength changes the Content-Length of a response.
func withLength(whole string, length, change int) string {
	return strings.Replace(whole, fmt.Sprint("Content-Length: ", length), fmt.Sprint("Content-Length: ", length+change), 1)
}
