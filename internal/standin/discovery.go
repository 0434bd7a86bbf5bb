package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	endpointservice "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"

	"cresspass/internal/discovery/eds"
)

// DiscoveryServer is a stand-in for an endpoint discovery service: it pushes a list to all that subscribe, late where
// it is told to, and can be out of reach.
type DiscoveryServer struct {
	endpointservice.UnimplementedEndpointDiscoveryServiceServer
	service string
	server  *grpc.Server
	addr    string

	mu            sync.Mutex
	version       int
	list          eds.List
	delay         time.Duration
	unavailable   chan struct{} // closed while out of reach
	changed       chan struct{} // closed at each change
	notifications []Notification
	nacks         int
}

// Notification is a list that one subscriber accepted, and when.
type Notification struct {
	Sent    time.Time
	At      time.Time // when it was accepted
	Node    string
	Version int
	List    []eds.Engine
}

// NewDiscoveryServer serves lists for one service on a loopback address.
func NewDiscoveryServer(addr, service string) (*DiscoveryServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &DiscoveryServer{service: service, server: grpc.NewServer(), addr: ln.Addr().String(),
		changed:     make(chan struct{}),
		unavailable: make(chan struct{})}
	endpointservice.RegisterEndpointDiscoveryServiceServer(r.server, r)
	go r.server.Serve(ln)
	return r, nil
}

// Addr is where it listens.
func (r *DiscoveryServer) Addr() string { return r.addr }

// Set changes the list.
func (r *DiscoveryServer) Set(engines []eds.Engine) {
	r.mu.Lock()
	r.list = eds.List{Engines: append([]eds.Engine(nil), engines...)}
	r.version++
	r.wake()
	r.mu.Unlock()
}

func (r *DiscoveryServer) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDelay has further changes told so much later.
func (r *DiscoveryServer) SetDelay(by time.Duration) {
	r.mu.Lock()
	r.delay = by
	r.mu.Unlock()
}

// SetUnavailable makes it be out of reach: streams break and new ones are refused; or be back.
func (r *DiscoveryServer) SetUnavailable(away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.unavailable:
		if !away {
			r.unavailable = make(chan struct{})
		}
	default:
		if away {
			close(r.unavailable)
		}
	}
}

// Notifications returns which lists were accepted by whom, and how many were refused.
func (r *DiscoveryServer) Notifications() ([]Notification, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Notification(nil), r.notifications...), r.nacks
}

// Close ends it.
func (r *DiscoveryServer) Close() { r.server.Stop() }

// StreamEndpoints serves one subscriber (xDS protocol, "State of the World").
func (r *DiscoveryServer) StreamEndpoints(s endpointservice.EndpointDiscoveryService_StreamEndpointsServer) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	node := first.GetNode().GetId()
	acks := make(chan *discoveryv3.DiscoveryRequest)
	go func() {
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
	}()
	sent := 0
	lists := map[string]Notification{}
	for {
		r.mu.Lock()
		version, list, away, changed, late := r.version, r.list, r.unavailable, r.changed, r.delay
		r.mu.Unlock()
		if version > sent {
			if sent > 0 && late > 0 {
				select {
				case <-time.After(late):
				case <-away:
				case <-s.Context().Done():
					return nil
				}
			}
			select {
			case <-away:
				return status.Error(codes.Unavailable, "out of reach")
			default:
			}
			a, err := eds.NewAssignment(r.service, &list)
			if err != nil {
				return err
			}
			any, err := anypb.New(a)
			if err != nil {
				return err
			}
			v := fmt.Sprint(version)
			lists[v] = Notification{Sent: time.Now(), Node: node, Version: version, List: list.Engines}
			if err := s.Send(&discoveryv3.DiscoveryResponse{VersionInfo: v, Nonce: v, TypeUrl: eds.TypeURL,
				Resources: []*anypb.Any{any}}); err != nil {
				return err
			}
			sent = version
			continue
		}
		select {
		case <-changed:
		case <-away:
			return status.Error(codes.Unavailable, "out of reach")
		case m, ok := <-acks:
			if !ok {
				return nil
			}
			r.mu.Lock()
			if t, ok := lists[m.ResponseNonce]; ok && m.ErrorDetail == nil {
				t.At = time.Now()
				r.notifications = append(r.notifications, t)
			} else if m.ErrorDetail != nil {
				r.nacks++
			}
			r.mu.Unlock()
		}
	}
}
