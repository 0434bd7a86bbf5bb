package gossip

import (
	"time"
)

const (
	maxBootstrapPeers     = 9                      // that one that begins asks for what they have learnt
	enoughReportingPeers  = 5                      // with so many it begins...
	bootstrapSettleTime   = 100 * time.Millisecond // ...once no more has come for so long
	bootstrapReplyTimeout = 300 * time.Millisecond // one that has not answered for so long is replaced by another
	discoveryTime         = 300 * time.Millisecond // others should be known by then
)

// bootstrap is what one that begins waits for.
type bootstrap struct {
	timeout        time.Duration
	started        time.Duration // when it began to ask
	done           bool
	requestedAt    map[string]time.Duration // who was asked, and when
	receivedParts  map[string]map[byte]bool // who has answered, as far as packets came
	complete       map[string]bool
	empty          map[string]bool // who knows nothing either
	reporting      int             // voices at the last look...
	reportingSince time.Duration   // ...that are so many since then
}

func newBootstrap(wait, now time.Duration) bootstrap {
	return bootstrap{timeout: wait, started: now, done: wait <= 0, requestedAt: map[string]time.Duration{},
		receivedParts: map[string]map[byte]bool{}, complete: map[string]bool{}, empty: map[string]bool{}, reportingSince: now}
}

// acceptReply takes a packet of an answer and reports whether it is to be taken in. Danger: one that was not
// asked would otherwise be a voice as well, and a liar under five names five of them.
func (n *bootstrap) acceptReply(name string, part, parts byte) bool {
	if _, asked := n.requestedAt[name]; n.done || !asked || n.empty[name] {
		return false
	}
	if n.receivedParts[name] == nil {
		n.receivedParts[name] = map[byte]bool{}
	}
	n.receivedParts[name][part] = true
	n.complete[name] = len(n.receivedParts[name]) >= int(parts)
	return true
}

func (n *bootstrap) markEmpty(name string) {
	if _, asked := n.requestedAt[name]; asked && n.receivedParts[name] == nil {
		n.empty[name] = true
	}
}

// reportingPeers is how many have answered wholly.
func (n *bootstrap) reportingPeers() (sum int) {
	for _, whole := range n.complete {
		if whole {
			sum++
		}
	}
	return sum
}

// outstanding is how many are yet to answer, and not given up.
func (n *bootstrap) outstanding(now time.Duration) (sum int) {
	for name, at := range n.requestedAt {
		if !n.empty[name] && !n.complete[name] && now-at < bootstrapReplyTimeout {
			sum++
		}
	}
	return sum
}

// stepBootstrap asks others for what they have learnt, and ends the wait: as soon as enough have answered,
// when nobody is left to ask, or when its time is over, whatever came.
func (t *Node) stepBootstrap(now time.Duration) {
	n := &t.bootstrap
	if n.done {
		return
	}
	for _, i := range t.random.Perm(len(t.memberNames)) {
		if n.reportingPeers()+n.outstanding(now) >= maxBootstrapPeers {
			break
		}
		if name := t.memberNames[i]; n.requestedAt[name] == 0 {
			n.requestedAt[name] = max(now, 1)
			t.sendPacket(now, name, kindBootstrapRequest, nil)
		}
	}
	if v := n.reportingPeers(); v != n.reporting {
		n.reporting, n.reportingSince = v, now
	}
	found := len(t.memberNames) > 0 && now-n.started >= discoveryTime
	switch {
	case now-n.started >= n.timeout, n.reporting >= maxBootstrapPeers:
	case n.reporting >= enoughReportingPeers && now-n.reportingSince >= bootstrapSettleTime:
	case found && len(n.requestedAt) == len(t.memberNames) && n.outstanding(now) == 0:
	default:
		return
	}
	n.done = true
	t.emit(Action{Type: CompleteBootstrap, ReportingPeers: n.reporting})
}
