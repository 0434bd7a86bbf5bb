// Package simulation is a discrete-event simulation of what the project balances: a fleet of dispatchers,
// engines, clients and the network between dispatchers, in simulated time. The module and the pure packages
// of membership and dispatch decide as they do in service. The package opens no sockets and reads no wall
// clock, and every random number is drawn from streams of the configured seed: one seed has one result, on
// any number of cores.
package simulation
