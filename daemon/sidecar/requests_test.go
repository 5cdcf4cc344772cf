package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// eachRequest reads the requests of a connection to a played endpoint or relay, and closes
// it once serve says no, or nothing more can be read.
func serveRequests(c *net.TCPConn, serve func(r *bufio.Reader, req *http.Request, body []byte) (keepOpen bool)) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !serve(r, req, body) {
			return
		}
	}
}
