package gossip

import (
	"time"
)

const (
	voicesMost   = 9                      // that one that begins asks for what they have learnt
	voicesEnough = 5                      // with so many it begins...
	settle       = 100 * time.Millisecond // ...once no more has come for so long
	askAgain     = 300 * time.Millisecond // one that has not answered for so long is replaced by another
	foundWithin  = 300 * time.Millisecond // others should be known by then
)

// newcomer is what one that begins waits for.
type newcomer struct {
	wait    time.Duration
	begun   time.Duration // when it began to ask
	over    bool
	asked   map[string]time.Duration // who was asked, and when
	parts   map[string]map[byte]bool // who has answered, as far as packets came
	whole   map[string]bool
	denied  map[string]bool // who knows nothing either
	settled int             // voices at the last look...
	since   time.Duration   // ...that are so many since then
}

func newNewcomer(wait, now time.Duration) newcomer {
	return newcomer{wait: wait, begun: now, over: wait <= 0, asked: map[string]time.Duration{},
		parts: map[string]map[byte]bool{}, whole: map[string]bool{}, denied: map[string]bool{}, since: now}
}

// answered takes a packet of an answer and reports whether it is to be taken in. Danger: one that was not
// asked would otherwise be a voice as well, and a liar under five names five of them.
func (n *newcomer) answered(name string, part, parts byte) bool {
	if _, asked := n.asked[name]; n.over || !asked || n.denied[name] {
		return false
	}
	if n.parts[name] == nil {
		n.parts[name] = map[byte]bool{}
	}
	n.parts[name][part] = true
	n.whole[name] = len(n.parts[name]) >= int(parts)
	return true
}

func (n *newcomer) nothing(name string) {
	if _, asked := n.asked[name]; asked && n.parts[name] == nil {
		n.denied[name] = true
	}
}

// voices is how many have answered wholly.
func (n *newcomer) voices() (sum int) {
	for _, whole := range n.whole {
		if whole {
			sum++
		}
	}
	return sum
}

// open is how many are yet to answer, and not given up.
func (n *newcomer) open(now time.Duration) (sum int) {
	for name, at := range n.asked {
		if !n.denied[name] && !n.whole[name] && now-at < askAgain {
			sum++
		}
	}
	return sum
}

// begin asks others for what they have learnt, and ends the wait: as soon as enough have answered, when
// nobody is left to ask, or when its time is over, whatever came.
func (t *Talker) begin(now time.Duration) {
	n := &t.newcomer
	if n.over {
		return
	}
	for _, i := range t.random.Perm(len(t.names)) {
		if n.voices()+n.open(now) >= voicesMost {
			break
		}
		if name := t.names[i]; n.asked[name] == 0 {
			n.asked[name] = max(now, 1)
			t.send(now, name, kindAsk, nil)
		}
	}
	if v := n.voices(); v != n.settled {
		n.settled, n.since = v, now
	}
	found := len(t.names) > 0 && now-n.begun >= foundWithin
	switch {
	case now-n.begun >= n.wait, n.settled >= voicesMost:
	case n.settled >= voicesEnough && now-n.since >= settle:
	case found && len(n.asked) == len(t.names) && n.open(now) == 0:
	default:
		return
	}
	n.over = true
	t.do(Output{Type: Begun, Voices: n.settled})
}
