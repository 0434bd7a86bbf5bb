package gossip

import (
	"time"

	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/validation"
)

// AllPeers addresses a message to every peer that has an ordinal.
const AllPeers = -1

// ActionType is the type of an Action and determines which of its fields are set.
type ActionType int

// The actions, with the fields that each sets.
const (
	SendPacket        ActionType = iota // To, Data: a packet to a peer
	DeliverMessage                      // From, Data: a peer's message to the decision module
	UpdateView                          // View, Clock: the fleet's state for the decision module
	BroadcastMetadata                   // this dispatcher's metadata has changed, see Node.Self
	CompleteBootstrap                   // ReportingPeers: the wait for the peers' model state is over
	ReportEngineDown                    // Engine: peers agree that it is down, without local evidence
	YieldName                           // a later process has this dispatcher's name: stop gossiping
)

// Action is something that the caller must do. Its type determines which fields are set.
type Action struct {
	Type           ActionType
	To             string // name of a member
	From           int    // ordinal of a member
	Data           []byte
	View           ordinal.View
	Clock          time.Duration // the fleet's clock
	ReportingPeers int
	Engine         string
}

// Stats counts what a node has sent and received.
type Stats struct {
	PacketsSent        uint64
	BytesSent          uint64
	PacketsRateLimited uint64 // not sent, as they exceed Config.BytesPerSecond

	PacketsAccepted    uint64
	PacketsReplayed    uint64 // received before, too old, or of an earlier incarnation
	PacketsFromUnknown uint64 // the sender is not a member
	PacketsMalformed   uint64

	ObservationsReceived uint64
	ObservationsRejected observation.Rejected
	DigestsSent          uint64
	BootstrapsAnswered   uint64 // starting peers that were sent the model state
	BootstrapsDeclined   uint64 // starting peers that got none: none was learnt, or too many peers asked

	Members     int
	Ordinal     int
	Validations [validation.ResultCount]uint64 // messages by the validator's result
	NameYielded bool
}

// Stats returns the counts so far.
func (n *Node) Stats() Stats {
	stats := n.stats
	stats.Members, stats.Ordinal = n.ordinals.MemberCount(), n.ordinals.Self().Claim
	stats.Validations, stats.ObservationsRejected = n.validator.Counts(), n.store.Rejected()
	return stats
}
