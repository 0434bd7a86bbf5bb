package membership

import (
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"cresspass/internal/dispatch"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
)

// slowStartTransport calls receiving while the member list is being created and already receives packets.
type slowStartTransport struct {
	*memberlist.NetTransport
	advertised atomic.Int32
	receiving  func()
}

// FinalAdvertiseAddr is called for the second time when the transport's packets and streams are already read.
func (t *slowStartTransport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	if t.advertised.Add(1) == 2 {
		t.receiving()
	}
	return t.NetTransport.FinalAdvertiseAddr(ip, port)
}

// digestPacket returns a digest of an empty store, to which a member answers with all that it has observed.
func digestPacket(t *testing.T, name string, incarnation uint64) []byte {
	t.Helper()
	config := gossip.Config{Name: name, Incarnation: incarnation, BytesPerSecond: 20000}
	node := gossip.New(config, observation.New(name, observation.DefaultLimits()), 0)
	node.MemberAlive(0, ordinal.Member{Name: "a", Incarnation: 1})
	node.Tick(time.Minute)
	for _, action := range node.Ready() {
		if action.Type == gossip.SendPacket {
			return action.Data
		}
	}
	t.Fatal("no digest")
	return nil
}

// Guards against a crash of a dispatcher that receives a packet before its member list is created.
func TestPacketsDuringStart(t *testing.T) {
	f := &testFleet{t: t, received: map[string][]string{}}
	keys := [][]byte{testKey(1)}
	peer := f.start("b", keys)
	defer peer.Close()
	packet := digestPacket(t, "b", f.incarnation)
	network, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{"127.0.0.1"},
		Logger:    log.New(io.Discard, "", 0),
	})
	if err != nil {
		t.Fatal(err)
	}
	addr := memberlist.Address{Addr: fmt.Sprint("127.0.0.1:", network.GetAutoBindPort())}
	config, store := f.configure("a", keys)
	config.Listen = addr.Addr
	config.Clock = dispatch.NewMonotonicClock()
	store.Observe(config.Clock(), observation.Key{Engine: "e1", Property: observation.Uptime}, 77)
	transport := &slowStartTransport{NetTransport: network}
	transport.receiving = func() {
		if _, err := peer.members.Join([]string{addr.Addr}); err != nil {
			t.Error(err)
		}
		if err := peer.members.SendToAddress(addr, packet); err != nil {
			t.Error(err)
		}
		time.Sleep(200 * time.Millisecond) // the packet is handled meanwhile
	}
	config.Transport = transport
	starting, err := New(config, store, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer starting.Close()
	if starting.Stats().PacketsAccepted == 0 {
		t.Fatal("no packet was accepted during the start")
	}
	f.eventually("its observations arrive once it has started", func() bool {
		return peer.Stats().ObservationsReceived > 0
	})
}
