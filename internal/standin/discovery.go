package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	endpointservice "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"

	"cresspass/internal/discovery/eds"
)

var errUnavailable = status.Error(codes.Unavailable, "out of reach")

// acceptPings lets clients send keepalive pings every 10 s, the shortest interval that the gRPC library
// allows.
var acceptPings = grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 10 * time.Second})

// DiscoveryServer is a stand-in for an endpoint discovery service (EDS): it pushes an engine list to all
// subscribers. Changes can be delayed, and the service can be made unavailable. Its methods may be called
// from several goroutines.
type DiscoveryServer struct {
	endpointservice.UnimplementedEndpointDiscoveryServiceServer
	service string
	server  *grpc.Server
	addr    string

	mu            sync.Mutex
	version       int
	list          eds.List
	delay         time.Duration
	unavailable   chan struct{} // closed while the service is unavailable
	changed       chan struct{} // closed and replaced at each change of the list
	notifications []Notification
	rejections    int
}

// Notification records that one subscriber accepted a list.
type Notification struct {
	Sent    time.Time
	At      time.Time // when it was accepted
	Node    string    // the subscriber's node id
	Version int
	List    []eds.Engine
}

// NewDiscoveryServer listens on addr and starts to serve the lists of one service, the EDS resource.
func NewDiscoveryServer(addr, service string) (*DiscoveryServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &DiscoveryServer{service: service, server: grpc.NewServer(acceptPings), addr: ln.Addr().String(),
		changed:     make(chan struct{}),
		unavailable: make(chan struct{})}
	endpointservice.RegisterEndpointDiscoveryServiceServer(r.server, r)
	go func() {
		_ = r.server.Serve(ln) // nil after Close; after another error subscribers lose their streams
	}()
	return r, nil
}

// Addr returns the address on which the service listens.
func (r *DiscoveryServer) Addr() string { return r.addr }

// Set replaces the list and pushes it to all subscribers.
func (r *DiscoveryServer) Set(engines []eds.Engine) {
	r.mu.Lock()
	r.list = eds.List{Engines: append([]eds.Engine(nil), engines...)}
	r.version++
	r.notifyStreams()
	r.mu.Unlock()
}

// notifyStreams makes all streams send the new list. The caller holds r.mu.
func (r *DiscoveryServer) notifyStreams() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDelay sets the delay with which later changes are sent to subscribers. A subscriber's first list is not
// delayed.
func (r *DiscoveryServer) SetDelay(delay time.Duration) {
	r.mu.Lock()
	r.delay = delay
	r.mu.Unlock()
}

// SetUnavailable makes the service unavailable, which ends streams and rejects new ones, or available again.
func (r *DiscoveryServer) SetUnavailable(unavailable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.unavailable:
		if !unavailable {
			r.unavailable = make(chan struct{})
		}
	default:
		if unavailable {
			close(r.unavailable)
		}
	}
}

// Notifications returns the lists that subscribers accepted, and the number of those that they rejected.
func (r *DiscoveryServer) Notifications() ([]Notification, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Notification(nil), r.notifications...), r.rejections
}

// Close ends the service and its streams.
func (r *DiscoveryServer) Close() { r.server.Stop() }

// subscription is the stream of one subscriber.
type subscription = endpointservice.EndpointDiscoveryService_StreamEndpointsServer

// StreamEndpoints serves one subscriber (xDS protocol, the variant "State of the World"). The gRPC server
// calls it for each stream.
func (r *DiscoveryServer) StreamEndpoints(s subscription) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	node := first.GetNode().GetId()
	acks := make(chan *discoveryv3.DiscoveryRequest)
	go receiveAcks(s, acks)
	sent := 0
	unacknowledged := map[string]Notification{}
	for {
		r.mu.Lock()
		version, list, unavailable, changed, delay := r.version, r.list, r.unavailable, r.changed, r.delay
		r.mu.Unlock()
		if version > sent {
			if sent > 0 && !waitDelay(s.Context(), delay, unavailable) {
				return nil
			}
			if isClosed(unavailable) {
				return errUnavailable
			}
			nonce := fmt.Sprint(version)
			response, err := r.response(nonce, &list)
			if err != nil {
				return err
			}
			unacknowledged[nonce] = Notification{Sent: time.Now(), Node: node, Version: version,
				List: list.Engines}
			if err := s.Send(response); err != nil {
				return err
			}
			sent = version
			continue
		}
		select {
		case <-changed:
		case <-unavailable:
			return errUnavailable
		case m, ok := <-acks:
			if !ok {
				return nil
			}
			r.acknowledge(m, unacknowledged)
		}
	}
}

// receiveAcks forwards a subscriber's requests to acks until its stream ends, and then closes acks.
func receiveAcks(s subscription, acks chan<- *discoveryv3.DiscoveryRequest) {
	defer close(acks)
	for {
		m, err := s.Recv()
		if err != nil {
			return
		}
		select {
		case acks <- m:
		case <-s.Context().Done():
			return
		}
	}
}

// waitDelay waits for the delay of a change, or until the service becomes unavailable. It returns false if
// the subscriber's stream ends first.
func waitDelay(ctx context.Context, delay time.Duration, unavailable <-chan struct{}) bool {
	if delay <= 0 {
		return true
	}
	select {
	case <-time.After(delay):
	case <-unavailable:
	case <-ctx.Done():
		return false
	}
	return true
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (r *DiscoveryServer) response(nonce string, list *eds.List) (*discoveryv3.DiscoveryResponse, error) {
	assignment, err := eds.NewAssignment(r.service, list)
	if err != nil {
		return nil, err
	}
	resource, err := anypb.New(assignment)
	if err != nil {
		return nil, err
	}
	return &discoveryv3.DiscoveryResponse{VersionInfo: nonce, Nonce: nonce, TypeUrl: eds.TypeURL,
		Resources: []*anypb.Any{resource}}, nil
}

// acknowledge handles a subscriber's answer to a list: it records an accepted one and counts a rejected one.
func (r *DiscoveryServer) acknowledge(m *discoveryv3.DiscoveryRequest,
	unacknowledged map[string]Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.ErrorDetail != nil {
		r.rejections++
		return
	}
	if n, ok := unacknowledged[m.ResponseNonce]; ok {
		n.At = time.Now()
		r.notifications = append(r.notifications, n)
	}
}
