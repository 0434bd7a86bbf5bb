// Package layers holds the test that keeps imports pointing downwards: from the programs through the servers
// that assemble a dispatcher, the frontends, the backends and the dispatch core to the decision module and
// the protocols.
package layers
