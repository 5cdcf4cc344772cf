package linkproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	clientIP = "127.0.31.1"
	serverIP = "127.0.31.2"
)

// startEchoServer starts an echo server behind a proxy and returns the address of the proxy.
func startEchoServer(t *testing.T, n *Network) string {
	listener, err := net.Listen("tcp", serverIP+":0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return openProxy(t, n, listener.Addr().String())
}

// openProxy starts a proxy on a free port for the process at processAddr and returns the address of
// the proxy.
func openProxy(t *testing.T, n *Network, processAddr string) string {
	listener, err := net.Listen("tcp", serverIP+":0")
	must.NoError(t, err)
	addr := listener.Addr().String()
	must.NoError(t, listener.Close())
	must.NoError(t, n.Listen(addr, processAddr))
	t.Cleanup(n.Close)
	return addr
}

// dialer returns a dialer that uses clientIP, because the network identifies a link by its IPs.
func dialer() *net.Dialer { return &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(clientIP)}} }

func dial(t *testing.T, addr string) net.Conn {
	connection, err := dialer().Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// readLine reads a line in a goroutine and returns a channel that receives the line.
func readLine(connection net.Conn) <-chan string {
	line := make(chan string, 1)
	go func() {
		text, _ := bufio.NewReader(connection).ReadString('\n')
		line <- text
	}()
	return line
}

// Data sent while either direction is cut must arrive after the link is healed, and not earlier.
func TestCutDelaysUntilHealed(t *testing.T) {
	for _, cut := range []link{{clientIP, serverIP}, {serverIP, clientIP}} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			n := New()
			connection := dial(t, startEchoServer(t, n))
			_, err := io.WriteString(connection, "first\n")
			must.NoError(t, err)
			must.Eq(t, "first\n", <-readLine(connection))
			n.SetCut(cut.from, cut.to, true)
			_, err = io.WriteString(connection, "second\n")
			must.NoError(t, err)
			line := readLine(connection)
			select {
			case <-line:
				t.Fatal("data passed over a cut link")
			case <-time.After(50 * time.Millisecond):
			}
			n.Heal()
			must.Eq(t, "second\n", <-line)
		})
	}
}

// Close must end a connection whose data waits on a cut link, without waiting for the link to heal.
func TestCloseEndsDelayedConnections(t *testing.T) {
	n := New()
	connection := dial(t, startEchoServer(t, n))
	_, err := io.WriteString(connection, "first\n")
	must.NoError(t, err)
	must.Eq(t, "first\n", <-readLine(connection))
	n.SetCut(clientIP, serverIP, true)
	_, err = io.WriteString(connection, "second\n")
	must.NoError(t, err)
	closed := make(chan struct{})
	go func() {
		n.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(cutTimeout / 2):
		t.Fatal("Close waits for the cut link to heal")
	}
	_, err = connection.Read(make([]byte, 1))
	must.Error(t, err)
	must.ErrorIs(t, n.Listen(serverIP+":0", serverIP+":1"), net.ErrClosed)
}

// The proxy must forward the end of the stream in both directions.
func TestHalfCloseIsForwarded(t *testing.T) {
	connection := dial(t, startEchoServer(t, New()))
	_, err := io.WriteString(connection, "last\n")
	must.NoError(t, err)
	must.NoError(t, connection.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(connection)
	must.NoError(t, err)
	must.Eq(t, "last\n", string(rest))
}

// A client that connects to a stopped process must see a reset, either from the dial or from the
// first read.
func TestConnectionToStoppedProcessIsReset(t *testing.T) {
	listener, err := net.Listen("tcp", serverIP+":0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	connection, err := dialer().Dial("tcp", openProxy(t, New(), listener.Addr().String()))
	if err == nil {
		defer func() { _ = connection.Close() }()
		_, err = connection.Read(make([]byte, 1))
	}
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
