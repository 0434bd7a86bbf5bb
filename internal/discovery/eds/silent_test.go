package eds

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	endpointservice "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/grpc"
)

// silentService accepts subscriptions and never responds.
type silentService struct {
	endpointservice.UnimplementedEndpointDiscoveryServiceServer
}

func (silentService) StreamEndpoints(s endpointservice.EndpointDiscoveryService_StreamEndpointsServer) error {
	<-s.Context().Done()
	return s.Context().Err()
}

// forwardUntil copies bytes from one connection to another until silent is set; then it reads and drops them.
func forwardUntil(silent *atomic.Bool, to, from net.Conn) {
	buffer := make([]byte, 1024)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestSilentServiceIsNoticed guards against treating a service that has vanished or hangs as one whose list
// does not change: the client must report a failure once pings are not answered.
func TestSilentServiceIsNoticed(t *testing.T) {
	t.Parallel()
	service, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	endpointservice.RegisterEndpointDiscoveryServiceServer(server, silentService{})
	go func() { _ = server.Serve(service) }() // ended by Stop
	defer server.Stop()
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	var silent atomic.Bool
	go func() {
		for {
			near, err := proxy.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", service.Addr().String())
			if err != nil {
				near.Close()
				return
			}
			go forwardUntil(&silent, far, near)
			go forwardUntil(&silent, near, far)
		}
	}()
	c := NewClient(proxy.Addr().String(), "engines", "node", slog.New(slog.NewTextHandler(io.Discard, nil)))
	c.pingInterval, c.pingTimeout = 10*time.Second, 200*time.Millisecond // 10 s is the library's minimum
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	failures := make(chan error, 1)
	time.AfterFunc(time.Second, func() { silent.Store(true) })
	c.Run(ctx, func(*List) {}, func(err error) {
		select {
		case failures <- err:
		default:
		}
		cancel()
	})
	if ctx.Err() == context.DeadlineExceeded || len(failures) == 0 {
		t.Error("no failure was reported within a minute of a silent service")
	}
}
