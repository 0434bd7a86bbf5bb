package eds

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	endpointservice "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// Source is where engine lists come from.
type Source interface {
	// Run delivers lists, and failures of the subscription, until the context ends.
	Run(ctx context.Context, list func(*List), failed func(error))
	// Refresh requests the complete list once more.
	Refresh()
}

// Client subscribes to an endpoint discovery service over gRPC: state of the world, one resource. Make one
// with NewClient.
type Client struct {
	Address string // host:port
	Service string // the name of the ClusterLoadAssignment
	NodeID  string // how the dispatcher identifies itself
	Log     *slog.Logger
	refresh chan struct{} // holds at most one request to refresh

	pingInterval time.Duration // without a response, after which the service is pinged
	pingTimeout  time.Duration // after which a service that does not answer a ping has failed
}

// A service that vanished, or hangs, sends nothing, as one does whose list does not change. A ping tells them
// apart.
const (
	defaultPingInterval = 30 * time.Second
	defaultPingTimeout  = 5 * time.Second
	// tooManyPings is what a service closes the connection with that wants fewer pings ("PING" in gRPC's
	// keepalive).
	tooManyPings = "too_many_pings"
)

// NewClient returns a client that is not yet running.
func NewClient(address, service, nodeID string, log *slog.Logger) *Client {
	return &Client{
		Address: address,
		Service: service,
		NodeID:  nodeID,
		Log:     log,
		refresh: make(chan struct{}, 1),

		pingInterval: defaultPingInterval,
		pingTimeout:  defaultPingTimeout,
	}
}

// Refresh requests the complete list once more.
func (c *Client) Refresh() {
	select {
	case c.refresh <- struct{}{}:
	default: // one request is pending already
	}
}

// minBackoff and maxBackoff bound the pause between two subscriptions, which doubles from one to the next.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// errRefresh ends a subscription because of Refresh.
var errRefresh = errors.New("eds: the list was requested again")

// Run subscribes, again and again, until the context ends.
func (c *Client) Run(ctx context.Context, list func(*List), failed func(error)) {
	backoff := minBackoff
	for ctx.Err() == nil {
		accepted, err := c.subscribe(ctx, list)
		if ctx.Err() != nil {
			return
		}
		if strings.Contains(err.Error(), tooManyPings) {
			c.pingInterval *= 2
		}
		failed(err)
		if accepted {
			backoff = minBackoff
		}
		select {
		case <-time.After(backoff):
		case <-c.refresh:
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// endpointStream is one subscription.
type endpointStream = endpointservice.EndpointDiscoveryService_StreamEndpointsClient

// subscribe runs one subscription to its end. accepted says whether a list was accepted.
func (c *Client) subscribe(ctx context.Context, list func(*List)) (accepted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient(c.Address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: c.pingInterval, Timeout: c.pingTimeout}))
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }() // the subscription has ended: nothing is lost
	stream, err := endpointservice.NewEndpointDiscoveryServiceClient(conn).StreamEndpoints(ctx)
	if err != nil {
		return false, err
	}
	if err := c.request(stream, "", "", nil); err != nil {
		return false, err
	}
	responses, ended := receive(ctx, stream)
	acceptedVersion := ""
	for {
		select {
		case err := <-ended:
			return accepted, err
		case <-c.refresh:
			// The service responds to a new subscription of the same name with the complete resource.
			return accepted, errRefresh
		case response := <-responses:
			l, rejection := c.parseResponse(response)
			if rejection != nil {
				c.Log.Warn("engine list rejected", "version", response.VersionInfo, "error", rejection)
			} else {
				acceptedVersion, accepted = response.VersionInfo, true
				list(l)
			}
			// With a rejection, the last version that was accepted: this is how the protocol rejects a
			// response.
			if err := c.request(stream, acceptedVersion, response.Nonce, rejection); err != nil {
				return accepted, err
			}
		}
	}
}

// request subscribes, or accepts or rejects the response with the nonce.
func (c *Client) request(stream endpointStream, version, nonce string, rejection error) error {
	r := &discoveryv3.DiscoveryRequest{
		VersionInfo:   version,
		ResponseNonce: nonce,
		TypeUrl:       TypeURL,
		ResourceNames: []string{c.Service},
		Node:          &corev3.Node{Id: c.NodeID},
	}
	if rejection != nil {
		r.ErrorDetail = &status.Status{Code: int32(codes.InvalidArgument), Message: rejection.Error()}
	}
	return stream.Send(r)
}

// receive passes on what comes by a stream, in a goroutine that ends with the stream or the context; ended
// then has the reason.
func receive(ctx context.Context,
	stream endpointStream) (<-chan *discoveryv3.DiscoveryResponse, <-chan error) {
	responses := make(chan *discoveryv3.DiscoveryResponse)
	ended := make(chan error, 1)
	go func() {
		for {
			response, err := stream.Recv()
			if err != nil {
				ended <- err
				return
			}
			select {
			case responses <- response:
			case <-ctx.Done():
				// Without this the reader would wait forever for the stream's end, where a response comes
				// in the moment in which the context ends.
				ended <- ctx.Err()
				return
			}
		}
	}()
	return responses, ended
}
