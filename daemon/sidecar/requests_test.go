package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// serveRequests reads the requests on a connection to a simulated endpoint or relay. The connection
// is closed when serve returns false or no further request can be read.
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
