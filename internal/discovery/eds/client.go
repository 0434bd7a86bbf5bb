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

// Source delivers engine lists.
type Source interface {
	// Run calls onList with each list that it receives, and onFailure with the error of each subscription
	// that ends, until the context ends.
	Run(ctx context.Context, onList func(*List), onFailure func(error))
	// Refresh requests the complete list again.
	Refresh()
}

// Client subscribes to an endpoint discovery service over gRPC, to one resource in the state-of-the-world
// variant of the protocol. Create it with NewClient.
type Client struct {
	Address string // host:port
	Service string // name of the ClusterLoadAssignment
	NodeID  string // identifies the dispatcher to the service
	Log     *slog.Logger
	refresh chan struct{} // holds at most one pending refresh request

	pingInterval time.Duration // idle time after which the service is pinged
	pingTimeout  time.Duration // time to wait for the answer to a ping before the connection has failed
}

// A service whose list does not change sends nothing, like a service that has vanished or hangs. Only pings
// show the difference.
const (
	defaultPingInterval = 30 * time.Second
	defaultPingTimeout  = 5 * time.Second
	// tooManyPings is part of the error when a service closes the connection because pings come too often
	// (the debug data of a GOAWAY frame in gRPC's keepalive).
	tooManyPings = "too_many_pings"
)

// NewClient returns a client for the resource of a service, with default ping times. It does not connect
// before Run.
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

// Refresh requests the complete list again. It does not wait for the list and may be called from any
// goroutine.
func (c *Client) Refresh() {
	select {
	case c.refresh <- struct{}{}:
	default: // a request is pending already
	}
}

// minBackoff and maxBackoff limit the delay between two subscriptions, which doubles each time until a list
// is accepted.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// errRefresh is the error of a subscription that Refresh has ended.
var errRefresh = errors.New("eds: subscription ended to request the complete list again")

// Run subscribes, and subscribes again after each failure, until the context ends. If a service closes the
// connection because of too many pings, Run doubles the ping interval. It calls onList and onFailure one at a
// time.
func (c *Client) Run(ctx context.Context, onList func(*List), onFailure func(error)) {
	backoff := minBackoff
	for ctx.Err() == nil {
		accepted, err := c.subscribe(ctx, onList)
		if ctx.Err() != nil {
			return
		}
		if strings.Contains(err.Error(), tooManyPings) {
			c.pingInterval *= 2
		}
		onFailure(err)
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

// subscribe runs one subscription until it ends and returns the reason. accepted reports whether a list was
// accepted.
func (c *Client) subscribe(ctx context.Context, onList func(*List)) (accepted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient(c.Address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: c.pingInterval, Timeout: c.pingTimeout}))
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }() // the subscription has ended; an error does not matter
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
			// The service answers a new subscription to the same name with the complete resource.
			return accepted, errRefresh
		case response := <-responses:
			l, rejection := c.parseResponse(response)
			if rejection != nil {
				c.Log.Warn("engine list rejected", "version", response.VersionInfo, "error", rejection)
			} else {
				acceptedVersion, accepted = response.VersionInfo, true
				onList(l)
			}
			// The protocol rejects a response by a request with the last accepted version and an error.
			if err := c.request(stream, acceptedVersion, response.Nonce, rejection); err != nil {
				return accepted, err
			}
		}
	}
}

// request sends a discovery request. With an empty nonce it subscribes; otherwise it accepts the response
// with that nonce, or rejects it if rejection is not nil.
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

// receive reads responses from a stream in a goroutine that ends with the stream or the context. The
// goroutine then sends the reason on the second channel.
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
				// Without this case the goroutine would block forever on a response that arrives at the
				// moment the context ends.
				ended <- ctx.Err()
				return
			}
		}
	}()
	return responses, ended
}
