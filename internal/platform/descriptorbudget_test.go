package platform

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDescriptorBudget checks that client connections and calls together never use the reserved descriptors,
// in any sequence of new and closed ones, while there are so many clients that new ones evict old ones.
func TestDescriptorBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newDescriptorBudget(rapid.IntRange(128, 1024).Draw(t, "sockets"))
		clients, nodes := b.evictAbove, 0
		for range 2000 {
			b.clientConns.Store(int32(clients))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				nodes = rapid.IntRange(0, nodes).Draw(t, "nodes left")
			case 1:
				clients = max(clients-rapid.IntRange(0, 3).Draw(t, "fewer"), b.evictAbove)
			case 2, 3:
				if nodes < b.maxNodeConns()+b.urgentNodeConns() {
					nodes++
				}
			case 4, 5:
				if nodes < b.maxNodeConns() {
					nodes++
				}
			default:
				if !b.clientsExhausted(nodes) {
					clients++
				}
			}
			if clients+nodes > b.total {
				t.Fatalf("%d clients and %d calls exceed the total of %d", clients, nodes, b.total)
			}
		}
	})
}
