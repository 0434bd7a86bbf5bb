package replayguard

// Guard holds the windows of a bounded number of senders. When there are too many, the window that was
// created first is dropped. A Guard is not safe for concurrent use.
type Guard struct {
	maxSenders int
	windows    map[string]*Window
	senders    []string // in the order in which their windows were created
}

// NewGuard returns a guard for up to maxSenders senders.
func NewGuard(maxSenders int) *Guard {
	return &Guard{maxSenders: maxSenders, windows: map[string]*Window{}}
}

// Accept reports whether a message of a sender is new, see Window.Accept. known reports whether the sender is
// a member: messages of other senders are not accepted, and nothing is recorded about them.
func (g *Guard) Accept(sender string, known bool, incarnation, seq uint64) bool {
	if !known {
		return false
	}
	return g.window(sender).Accept(incarnation, seq)
}

// window returns a sender's window, and creates it if there is none.
func (g *Guard) window(sender string) *Window {
	if w := g.windows[sender]; w != nil {
		return w
	}
	if len(g.senders) >= g.maxSenders {
		delete(g.windows, g.senders[0])
		g.senders = g.senders[1:]
	}
	w := &Window{}
	g.windows[sender] = w
	g.senders = append(g.senders, sender)
	return w
}
