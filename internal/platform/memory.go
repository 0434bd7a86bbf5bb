package platform

import (
	"log/slog"

	"cresspass/internal/bytebudget"
)

// How the memory of the process is divided.
const (
	softMemoryFraction = 0.55    // of the memory limit; the garbage collector works harder above it
	restBytes          = 8 << 20 // of a dispatcher without clients
	minHeldBytes       = 2 << 20 // of the budget, with any memory limit
	defaultMemoryMB    = 192     // if the configuration sets no limit
	bytesPerMB         = 1 << 20

	// garbageFactor is how many bytes are in use for each byte that is held: until the next collection the
	// buffers in which a message grew are garbage.
	garbageFactor = 2
)

// The shares of the budget up to which the accounts may fill it. Short messages can be read while long ones
// use up their share.
const (
	longMessageShare  = 0.5
	shortMessageShare = 0.75
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
	budget        *bytebudget.Budget
	longMessages  *bytebudget.Account // messages that are being read, and open requests
	shortMessages *bytebudget.Account // the same of short messages
}

// newMemoryBudget returns the budget of a process with a memory limit in MB; 0 means that there is none.
func newMemoryBudget(memoryMB float64) *memoryBudget {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	free := int64(memoryMB*softMemoryFraction*bytesPerMB) - restBytes
	budget := bytebudget.New(max(free/garbageFactor, minHeldBytes))
	return &memoryBudget{budget: budget, longMessages: budget.Account(longMessageShare),
		shortMessages: budget.Account(shortMessageShare)}
}

// used returns how many bytes are held in all accounts.
func (m *memoryBudget) used() int64 { return m.budget.Used() }

// messageAccount returns the account of messages of a length.
func (m *memoryBudget) messageAccount(length int) *bytebudget.Account {
	if length > maxShortMessageBytes {
		return m.longMessages
	}
	return m.shortMessages
}

// stats returns the bytes in use and the number of refusals of each account, for the log.
func (m *memoryBudget) stats() slog.Attr {
	return slog.Group("memory", accountStats("long_messages", m.longMessages),
		accountStats("short_messages", m.shortMessages))
}

func accountStats(name string, account *bytebudget.Account) slog.Attr {
	used, refused := account.Stats()
	return slog.Group(name, "bytes", used, "refused", refused)
}
