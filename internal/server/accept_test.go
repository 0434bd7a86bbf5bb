package server_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/config"
	"cresspass/internal/server"
)

// failingListener fails its first accepts with a system error.
type failingListener struct {
	net.Listener
	errno syscall.Errno
	fails atomic.Int32 // number of accepts that are still to fail
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.fails.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}

// TestFrontendsSurviveFailedAccepts checks that a frontend still serves after accepts that failed because of
// the machine or of the accepted connection.
func TestFrontendsSurviveFailedAccepts(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS,
		syscall.EPROTO, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			var listeners []*failingListener
			for range 2 {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				l := &failingListener{Listener: ln, errno: errno}
				l.fails.Store(3)
				listeners = append(listeners, l)
			}
			r := startEngines(t, 1)
			cfg, err := config.Parse("test.hcl", []byte(flightSettings+fmt.Sprintf(
				"listen = \"127.0.0.1:0\"\nroster { eds = %q }\n", r.Discovery.Addr())))
			if err != nil {
				t.Fatal(err)
			}
			cfg.FlightListener = listeners[1]
			s, err := server.StartOnListener(cfg, slog.New(slog.DiscardHandler), listeners[0])
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			<-s.ListReady()
			c := dialServer(t, s)
			c.query("select 1")
			f := dialFlight(t, s, "")
			ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
			defer cancel()
			if _, err := f.Execute(ctx, "select 1"); err != nil {
				t.Error(err)
			}
		})
	}
}
