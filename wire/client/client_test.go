package client

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"github.com/shoenig/test/must"
)

// A refused connection can be told from other ends through every layer: cores take
// it as the hint that a process is gone.
func TestRefusedConnectionIsTold(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := ident.Addr(l.Addr().String())
	must.NoError(t, l.Close())
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	err = New("").Ask(ctx, addr, "POST", "/x", map[string]int{"a": 1}, nil)
	must.True(t, errors.Is(err, syscall.ECONNREFUSED), must.Sprint(err))
	must.Eq(t, defect.FateUnknown, defect.Of(err).Fate)
}
