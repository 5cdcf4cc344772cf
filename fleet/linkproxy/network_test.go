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

// startEcho starts a process that echoes lines, behind a proxy, and returns the proxy's address.
func startEcho(t *testing.T, n *Network) string {
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

// openProxy opens a proxy at a free port for a process at an address.
func openProxy(t *testing.T, n *Network, processAddr string) string {
	free, err := net.Listen("tcp", serverIP+":0")
	must.NoError(t, err)
	addr := free.Addr().String()
	must.NoError(t, free.Close())
	must.NoError(t, n.Listen(addr, processAddr))
	t.Cleanup(n.Close)
	return addr
}

// dialer dials from the client's IP, by which the network knows the link.
func dialer() *net.Dialer { return &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(clientIP)}} }

func dial(t *testing.T, addr string) net.Conn {
	connection, err := dialer().Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// nextLine reads a line in the background.
func nextLine(connection net.Conn) <-chan string {
	line := make(chan string, 1)
	go func() {
		text, _ := bufio.NewReader(connection).ReadString('\n')
		line <- text
	}()
	return line
}

// What is sent while either direction is cut arrives once it is healed, and not before.
func TestCutDelaysUntilHealed(t *testing.T) {
	for _, cut := range []link{{clientIP, serverIP}, {serverIP, clientIP}} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			n := New()
			connection := dial(t, startEcho(t, n))
			_, err := io.WriteString(connection, "first\n")
			must.NoError(t, err)
			must.Eq(t, "first\n", <-nextLine(connection))
			n.SetCut(cut.from, cut.to, true)
			_, err = io.WriteString(connection, "second\n")
			must.NoError(t, err)
			line := nextLine(connection)
			select {
			case <-line:
				t.Fatal("a byte passed on a cut link")
			case <-time.After(50 * time.Millisecond):
			}
			n.Heal()
			must.Eq(t, "second\n", <-line)
		})
	}
}

// Close ends a connection whose bytes wait on a cut link, and does not wait until the link is healed.
func TestCloseEndsWhatWaits(t *testing.T) {
	n := New()
	connection := dial(t, startEcho(t, n))
	_, err := io.WriteString(connection, "first\n")
	must.NoError(t, err)
	must.Eq(t, "first\n", <-nextLine(connection))
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
		t.Fatal("Close waits for the cut link")
	}
	_, err = connection.Read(make([]byte, 1))
	must.Error(t, err)
	must.ErrorIs(t, n.Listen(serverIP+":0", serverIP+":1"), net.ErrClosed)
}

// The end of a connection is passed on in both directions.
func TestOrderlyEnd(t *testing.T) {
	connection := dial(t, startEcho(t, New()))
	_, err := io.WriteString(connection, "last\n")
	must.NoError(t, err)
	must.NoError(t, connection.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(connection)
	must.NoError(t, err)
	must.Eq(t, "last\n", string(rest))
}

// The dialler of a process that is down sees a reset, as it dials or afterwards.
func TestProcessDown(t *testing.T) {
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
