package platform

import (
	"log/slog"

	"cresspass/internal/bytebudget"
)

// How the memory of the process is divided.
const (
	softMemoryFraction = 0.55    // of the memory limit; the garbage collector works harder above it
	restBytes          = 8 << 20 // of a dispatcher without clients
	heldFraction       = 2.0 / 3 // of what is left, for what is held; the rest is for garbage
	minHeldBytes       = 3 << 20 // with any memory limit
	defaultMemoryMB    = 192     // if the configuration sets no limit
	bytesPerMB         = 1 << 20
)

// The shares of the kinds of use in what is held. Each kind has its own, so that short requests are read and
// answered while long ones, results, or output that is not read, use up theirs.
const (
	longMessageShare  = 0.25
	shortMessageShare = 0.35
	resultShare       = 0.2
	outputShare       = 0.2
)

const (
	// maxShortMessageBytes is the length of the longest message that counts as short.
	maxShortMessageBytes = 8 << 10
	// requestOverheadBytes is what an open request holds besides its message: its state in the registry, the
	// core, the decision module and the guard, and its attempt.
	requestOverheadBytes = 4 << 10
)

// memoryBudget limits the bytes that the process holds for clients. Without it a few clients could take the
// process over its memory limit, and the platform would kill it.
type memoryBudget struct {
	longMessages  *bytebudget.Budget // messages that are being read, and open requests
	shortMessages *bytebudget.Budget // the same of short messages
	results       *bytebudget.Budget // results that are being fetched
	output        *bytebudget.Budget // output that clients have not read
}

// newMemoryBudget returns the budget of a process with a memory limit in MB; 0 means that there is none.
func newMemoryBudget(memoryMB float64) *memoryBudget {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	held := max((memoryMB*softMemoryFraction*bytesPerMB-restBytes)*heldFraction, minHeldBytes)
	return &memoryBudget{longMessages: bytebudget.New(int64(held * longMessageShare)),
		shortMessages: bytebudget.New(int64(held * shortMessageShare)),
		results:       bytebudget.New(int64(held * resultShare)),
		output:        bytebudget.New(int64(held * outputShare))}
}

// ofMessage returns the budget of messages of a length.
func (m *memoryBudget) ofMessage(length int) *bytebudget.Budget {
	if length > maxShortMessageBytes {
		return m.longMessages
	}
	return m.shortMessages
}

// stats returns the bytes in use and the number of refusals of each kind, for the log.
func (m *memoryBudget) stats() slog.Attr {
	return slog.Group("memory", budgetStats("long_messages", m.longMessages),
		budgetStats("short_messages", m.shortMessages), budgetStats("results", m.results),
		budgetStats("output", m.output))
}

func budgetStats(name string, budget *bytebudget.Budget) slog.Attr {
	used, refused := budget.Stats()
	return slog.Group(name, "bytes", used, "refused", refused)
}
