package sse

import (
	"strings"
	"testing"
)

// TestParserAnySplit checks that a stream gives the same events wherever it is split, and that a stream that
// ends early gives no partial event.
func TestParserAnySplit(t *testing.T) {
	stream := event(1, true, server("a", "up", 0)) + ": comment\n\n" +
		event(2, false, server("a", "draining", 0))
	for cut := range stream {
		var p Parser
		var ids []uint64
		handle := func(ev Event) { ids = append(ids, ev.ID) }
		if err := p.Feed([]byte(stream[:cut]), handle); err != nil {
			t.Fatal(err)
		}
		if err := p.Feed([]byte(stream[cut:len(stream)-1]), handle); err != nil {
			t.Fatal(err)
		}
		if len(ids) != 1 || ids[0] != 1 {
			t.Fatalf("cut at %d: events %v before the last byte, want only the first event", cut, ids)
		}
		if err := p.Feed([]byte(stream[len(stream)-1:]), handle); err != nil {
			t.Fatal(err)
		}
		if len(ids) != 2 || ids[1] != 2 {
			t.Fatalf("cut at %d: events %v, want both", cut, ids)
		}
	}
	var p Parser
	if err := p.Feed(make([]byte, MaxEventBytes+1), func(Event) {}); err == nil {
		t.Error("no error for a line of more than MaxEventBytes")
	}
}

// TestParserLineEndings checks that a stream gives the same events with each line end of the standard, even
// if it is split between a CR and its LF, and with or without a byte order mark.
func TestParserLineEndings(t *testing.T) {
	plain := event(1, true, server("a", "up", 0)) + ": comment\n" +
		event(2, false, server("a", "draining", 0))
	for _, end := range []string{"\n", "\r\n", "\r"} {
		for _, mark := range []string{"", "\ufeff"} {
			stream := mark + strings.ReplaceAll(plain, "\n", end) + ": next" + end
			for cut := range stream {
				var p Parser
				var ids []uint64
				handle := func(ev Event) { ids = append(ids, ev.ID) }
				for _, piece := range []string{stream[:cut], stream[cut:]} {
					if err := p.Feed([]byte(piece), handle); err != nil {
						t.Fatal(err)
					}
				}
				if len(ids) != 2 || ids[0] != 1 || ids[1] != 2 {
					t.Fatalf("line end %q, mark %q, cut at %d: events %v, want both", end, mark, cut, ids)
				}
			}
		}
	}
}
