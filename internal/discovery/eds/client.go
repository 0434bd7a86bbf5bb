package eds

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	endpointservice "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/structpb"
)

// TypeURL is the resource type of endpoint discovery (xDS protocol, "Resource Types").
const TypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// MetadataFilter is the filter name under which an endpoint's kind, start (seconds since 1970) and size
// stand.
const MetadataFilter = "cresspass"

// Source is where engine lists come from.
type Source interface {
	// Run delivers lists, and failures of the subscription, until the context ends.
	Run(ctx context.Context, list func(*List), failed func(error))
	// Refresh asks for the complete list once more.
	Refresh()
}

// Client subscribes to an endpoint discovery service: state of the world, one resource, over gRPC.
type Client struct {
	Address string // host:port
	Service string // the ClusterLoadAssignment's name
	NodeID  string // how we name ourselves
	Log     *slog.Logger
	refresh chan struct{}
}

// NewClient returns a source that is not yet running.
func NewClient(address, service, node string, log *slog.Logger) *Client {
	return &Client{
		Address: address,
		Service: service,
		NodeID:  node,
		Log:     log,
		refresh: make(chan struct{}, 1),
	}
}

// Refresh asks for the list once more.
func (s *Client) Refresh() {
	select {
	case s.refresh <- struct{}{}:
	default:
	}
}

// minBackoff and maxBackoff bound the rest between two subscriptions.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Run subscribes, again and again, until the context ends.
func (s *Client) Run(ctx context.Context, list func(*List), failed func(error)) {
	backoff := minBackoff
	for ctx.Err() == nil {
		accepted, err := s.subscribe(ctx, list)
		if ctx.Err() != nil {
			return
		}
		failed(err)
		if accepted {
			backoff = minBackoff
		}
		select {
		case <-time.After(backoff):
		case <-s.refresh:
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// subscribe runs one stream to its end. came tells whether a list was accepted.
func (s *Client) subscribe(ctx context.Context, list func(*List)) (accepted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient(s.Address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	stream, err := endpointservice.NewEndpointDiscoveryServiceClient(conn).StreamEndpoints(ctx)
	if err != nil {
		return false, err
	}
	request := func(version, nonce string, rejection error) error {
		r := &discoveryv3.DiscoveryRequest{VersionInfo: version, ResponseNonce: nonce, TypeUrl: TypeURL,
			ResourceNames: []string{s.Service}, Node: &corev3.Node{Id: s.NodeID}}
		if rejection != nil {
			r.ErrorDetail = &status.Status{Code: 3, Message: rejection.Error()}
		}
		return stream.Send(r)
	}
	version, nonce := "", ""
	if err := request(version, nonce, nil); err != nil {
		return false, err
	}
	responses := make(chan *discoveryv3.DiscoveryResponse)
	ended := make(chan error, 1)
	go func() {
		for {
			m, err := stream.Recv()
			if err != nil {
				ended <- err
				return
			}
			select {
			case responses <- m:
			case <-ctx.Done():
				// Danger: a list that comes in the moment of the end would leave the loop below waiting for
				// an end that nobody tells.
				ended <- ctx.Err()
				return
			}
		}
	}()
	for {
		select {
		case err := <-ended:
			return accepted, err
		case <-s.refresh:
			// A new subscription to the same name is answered with the whole resource.
			return accepted, fmt.Errorf("roster: asked for again")
		case m := <-responses:
			l, rejection := s.parseResponse(m)
			nonce = m.Nonce
			if rejection != nil {
				s.Log.Warn("engine list refused", "version", m.VersionInfo, "error", rejection)
			} else {
				version, accepted = m.VersionInfo, true
				list(l)
			}
			if err := request(version, nonce, rejection); err != nil { // the last good version: a refusal
				return accepted, err
			}
		}
	}
}

// parseResponse takes a response whole, or refuses it whole.
func (s *Client) parseResponse(m *discoveryv3.DiscoveryResponse) (*List, error) {
	if m.TypeUrl != TypeURL {
		return nil, fmt.Errorf("roster: type %q", m.TypeUrl)
	}
	l := &List{Version: m.VersionInfo, ReceivedAt: time.Now()}
	found := false
	for _, any := range m.Resources {
		var a endpointv3.ClusterLoadAssignment
		if err := any.UnmarshalTo(&a); err != nil {
			return nil, fmt.Errorf("roster: %w", err)
		}
		if a.ClusterName != s.Service {
			continue
		}
		found = true
		for _, group := range a.Endpoints {
			for _, e := range group.LbEndpoints {
				v, err := parseEndpoint(group.GetLocality(), e)
				if err != nil {
					return nil, err
				}
				l.Engines = append(l.Engines, v)
			}
		}
	}
	if !found {
		return nil, fmt.Errorf("roster: no resource %q in version %q", s.Service, m.VersionInfo)
	}
	return l, l.Validate()
}

func parseEndpoint(where *corev3.Locality, e *endpointv3.LbEndpoint) (v Engine, err error) {
	at := e.GetEndpoint().GetAddress().GetSocketAddress()
	if at == nil {
		return v, fmt.Errorf("roster: an endpoint without a socket address")
	}
	v.Address = net.JoinHostPort(at.Address, strconv.Itoa(int(at.GetPortValue())))
	v.Zone = where.GetZone()
	if sub := where.GetSubZone(); sub != "" {
		if v.Cell, err = strconv.Atoi(sub); err != nil {
			return v, fmt.Errorf("roster: engine %s: sub-zone %q is no number of a cell", v.Address, sub)
		}
	}
	switch e.HealthStatus {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DEGRADED:
		v.State = StateActive // UNKNOWN: no health checking, by the definition of the field
	case corev3.HealthStatus_DRAINING:
		v.State = StateDraining
	default:
		v.State = StateRemoved
	}
	fields := e.GetMetadata().GetFilterMetadata()[MetadataFilter].GetFields()
	v.Kind, v.Size = fields["kind"].GetStringValue(), fields["size"].GetNumberValue()
	if t := fields["start"].GetNumberValue(); t > 0 {
		v.Started = time.UnixMilli(int64(t * 1000))
	}
	return v, nil
}

// NewAssignment is a list as endpoint discovery has it.
func NewAssignment(service string, l *List) (*endpointv3.ClusterLoadAssignment, error) {
	out := &endpointv3.ClusterLoadAssignment{ClusterName: service}
	for _, e := range l.Engines {
		host, port, err := net.SplitHostPort(e.Address)
		if err != nil {
			return nil, err
		}
		n, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			return nil, err
		}
		health := map[string]corev3.HealthStatus{StateActive: corev3.HealthStatus_HEALTHY,
			StateDraining: corev3.HealthStatus_DRAINING,
			StateRemoved:  corev3.HealthStatus_UNHEALTHY}[e.State]
		meta := map[string]any{"kind": e.Kind, "size": e.Size}
		if !e.Started.IsZero() {
			meta["start"] = float64(e.Started.UnixMilli()) / 1000
		}
		fields, err := structpb.NewStruct(meta)
		if err != nil {
			return nil, err
		}
		out.Endpoints = append(out.Endpoints, &endpointv3.LocalityLbEndpoints{
			Locality: &corev3.Locality{Zone: e.Zone, SubZone: strconv.Itoa(e.Cell)},
			LbEndpoints: []*endpointv3.LbEndpoint{{HealthStatus: health,
				Metadata: &corev3.Metadata{
					FilterMetadata: map[string]*structpb.Struct{MetadataFilter: fields},
				},
				HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
					Address: &corev3.Address{Address: &corev3.Address_SocketAddress{
						SocketAddress: &corev3.SocketAddress{
							Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{
								PortValue: uint32(n)}}}}}}}}})
	}
	return out, nil
}
