package membership

import (
	"encoding/binary"
	"time"

	"github.com/hashicorp/memberlist"

	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/ordinal"
)

// The methods that memberlist calls: its Delegate, EventDelegate and ConflictDelegate.

// incarnationSize and metadataSize are sizes in bytes. A member's metadata is its incarnation, then its
// claim to an ordinal as a signed 16-bit number, both big-endian.
const (
	incarnationSize = 8
	metadataSize    = incarnationSize + 2
)

// encodeMetadata encodes the metadata that memberlist sends together with a member's name.
func encodeMetadata(m ordinal.Member) []byte {
	b := binary.BigEndian.AppendUint64(nil, m.Incarnation)
	return binary.BigEndian.AppendUint16(b, uint16(int16(m.Claim)))
}

// decodeMember decodes a node's metadata; false: it is malformed.
func decodeMember(n *memberlist.Node) (m ordinal.Member, ok bool) {
	if len(n.Meta) != metadataSize {
		return m, false
	}
	return ordinal.Member{
		Name:        n.Name,
		Incarnation: binary.BigEndian.Uint64(n.Meta),
		Claim:       int(int16(binary.BigEndian.Uint16(n.Meta[incarnationSize:]))),
	}, true
}

// NodeMeta returns this dispatcher's metadata.
func (s *Service) NodeMeta(int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encodeMetadata(s.node.Self())
}

// NotifyMsg handles a packet from a member.
func (s *Service) NotifyMsg(packet []byte) {
	s.withNode(func(now time.Duration, n *gossip.Node) { n.HandlePacket(now, packet) })
}

// GetBroadcasts returns none: packets are sent to single members.
func (s *Service) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns none: digests find the differences between members at less cost.
func (s *Service) LocalState(bool) []byte { return nil }

// MergeRemoteState has nothing to merge.
func (s *Service) MergeRemoteState([]byte, bool) {}

// NotifyJoin records a member that is present.
func (s *Service) NotifyJoin(n *memberlist.Node) { s.memberAlive(n) }

// NotifyUpdate records a member's changed metadata.
func (s *Service) NotifyUpdate(n *memberlist.Node) { s.memberAlive(n) }

// memberAlive records a member's address and metadata. Actions that follow are carried out at the next
// tick, as memberlist holds its locks here.
func (s *Service) memberAlive(n *memberlist.Node) {
	m, ok := decodeMember(n)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[n.Name] = memberlist.Address{Addr: n.Address(), Name: n.Name}
	s.node.MemberAlive(s.clock(), m)
}

// NotifyLeave records that a member was lost, or has announced its leave.
func (s *Service) NotifyLeave(n *memberlist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.addresses, n.Name)
	s.node.MemberLost(s.clock(), n.Name, n.State == memberlist.StateLeft)
}

// NotifyConflict records that two processes claim the same name.
func (s *Service) NotifyConflict(existing, other *memberlist.Node) {
	s.log.Warn("duplicate dispatcher name",
		"name", existing.Name, "address", existing.Address(), "other_address", other.Address())
	if m, ok := decodeMember(other); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.node.NameConflict(s.clock(), m)
	}
}
