package eds

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/structpb"
)

// TypeURL is the resource type of endpoint discovery (xDS protocol, "Resource Types").
const TypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// MetadataFilter is the key of the dispatcher's fields in the filter metadata of an endpoint.
const MetadataFilter = "cresspass"

// Fields of an endpoint's metadata.
const (
	metadataKind  = "kind"
	metadataSize  = "size"
	metadataStart = "start" // Unix time in seconds
)

// parseResponse returns the engine list in a response, or an error with the reason to reject the response.
// The discovery service receives the text of the error.
func (c *Client) parseResponse(response *discoveryv3.DiscoveryResponse) (*List, error) {
	if response.TypeUrl != TypeURL {
		return nil, fmt.Errorf("roster: type %q", response.TypeUrl)
	}
	l := &List{Version: response.VersionInfo, ReceivedAt: time.Now()}
	found := false
	for _, resource := range response.Resources {
		var assignment endpointv3.ClusterLoadAssignment
		if err := resource.UnmarshalTo(&assignment); err != nil {
			return nil, fmt.Errorf("roster: %w", err)
		}
		if assignment.ClusterName != c.Service {
			continue
		}
		found = true
		for _, group := range assignment.Endpoints {
			for _, endpoint := range group.LbEndpoints {
				engine, err := parseEndpoint(group.GetLocality(), endpoint)
				if err != nil {
					return nil, err
				}
				l.Engines = append(l.Engines, engine)
			}
		}
	}
	if !found {
		return nil, fmt.Errorf("roster: no resource %q in version %q", c.Service, response.VersionInfo)
	}
	return l, l.Validate()
}

// parseEndpoint converts an endpoint and its locality to an engine.
func parseEndpoint(locality *corev3.Locality, endpoint *endpointv3.LbEndpoint) (e Engine, err error) {
	address := endpoint.GetEndpoint().GetAddress().GetSocketAddress()
	if address == nil {
		return e, errors.New("roster: an endpoint without a socket address")
	}
	e.Address = net.JoinHostPort(address.Address, strconv.Itoa(int(address.GetPortValue())))
	e.Zone = locality.GetZone()
	if subZone := locality.GetSubZone(); subZone != "" {
		if e.Cell, err = strconv.Atoi(subZone); err != nil {
			return e, fmt.Errorf("roster: engine %s: sub-zone %q is no number of a cell", e.Address, subZone)
		}
	}
	switch endpoint.HealthStatus {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DEGRADED:
		e.State = StateActive // the protocol counts UNKNOWN as healthy: there is no health checking
	case corev3.HealthStatus_DRAINING:
		e.State = StateDraining
	default:
		e.State = StateRemoved
	}
	metadata := endpoint.GetMetadata().GetFilterMetadata()[MetadataFilter].GetFields()
	e.Kind = metadata[metadataKind].GetStringValue()
	e.Size = metadata[metadataSize].GetNumberValue()
	if start := metadata[metadataStart].GetNumberValue(); start > 0 {
		e.Started = time.UnixMilli(int64(start * 1000))
	}
	return e, nil
}

// healthStatus maps the state of an engine to the health status of its endpoint.
var healthStatus = map[EngineState]corev3.HealthStatus{
	StateActive:   corev3.HealthStatus_HEALTHY,
	StateDraining: corev3.HealthStatus_DRAINING,
	StateRemoved:  corev3.HealthStatus_UNHEALTHY,
}

// NewAssignment converts a list to the resource that a discovery service sends.
func NewAssignment(service string, l *List) (*endpointv3.ClusterLoadAssignment, error) {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: service}
	for _, e := range l.Engines {
		endpoint, err := newEndpoint(e)
		if err != nil {
			return nil, err
		}
		assignment.Endpoints = append(assignment.Endpoints, &endpointv3.LocalityLbEndpoints{
			Locality:    &corev3.Locality{Zone: e.Zone, SubZone: strconv.Itoa(e.Cell)},
			LbEndpoints: []*endpointv3.LbEndpoint{endpoint},
		})
	}
	return assignment, nil
}

// newEndpoint converts an engine to an endpoint. The zone and cell are not in it: they belong to the
// locality.
func newEndpoint(e Engine) (*endpointv3.LbEndpoint, error) {
	host, port, err := net.SplitHostPort(e.Address)
	if err != nil {
		return nil, err
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, err
	}
	metadata := map[string]any{metadataKind: e.Kind, metadataSize: e.Size}
	if !e.Started.IsZero() {
		metadata[metadataStart] = float64(e.Started.UnixMilli()) / 1000
	}
	fields, err := structpb.NewStruct(metadata)
	if err != nil {
		return nil, err
	}
	address := &corev3.SocketAddress{
		Address:       host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(portNumber)},
	}
	return &endpointv3.LbEndpoint{
		HealthStatus: healthStatus[e.State],
		Metadata: &corev3.Metadata{
			FilterMetadata: map[string]*structpb.Struct{MetadataFilter: fields},
		},
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
			Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: address}},
		}},
	}, nil
}
