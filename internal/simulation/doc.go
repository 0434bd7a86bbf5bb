// Package simulation is a discrete-event simulation of a fleet in virtual time: its dispatchers, engines and
// clients, and the network between dispatchers. The dispatchers run the production code of the module and of
// the pure packages of membership and dispatch. The package opens no sockets and reads no wall clock, and
// draws every random number from streams of the configured seed, so a seed gives the same result on any
// number of cores.
package simulation
