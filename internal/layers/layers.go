// Package layers holds the test that keeps imports pointing downwards: from the programs through the shells,
// the clients' side, the engines' side and the dispatch core to the decision module and the protocols.
package layers
