package sse

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/discovery/starttime"
)

func event(id int, full bool, servers string) string {
	return fmt.Sprintf("id: %d\ndata: {\"rev\":%d,\"pool\":{\"version\":1,\"full\":%v,\"servers\":[%s]}}\n\n",
		id, id, full, servers)
}

func server(id, state string, started int64) string {
	return fmt.Sprintf(`{"id":%q,"addr":"10.0.0.1:1","zone":"z","kind":"k","state":%q,"weight":4,`+
		`"started_ms":%d}`, id, state, started)
}

// TestParserAnySplit: a stream gives the same events wherever it is cut, and one that breaks off gives no
// partial event.
func TestParserAnySplit(t *testing.T) {
	stream := event(1, true, server("a", "up", 0)) + ": comment\n\n" +
		event(2, false, server("a", "draining", 0))
	for cut := range stream {
		var p Parser
		var ids []uint64
		got := func(ev Event) { ids = append(ids, ev.ID) }
		if err := p.Feed([]byte(stream[:cut]), got); err != nil {
			t.Fatal(err)
		}
		if err := p.Feed([]byte(stream[cut:len(stream)-1]), got); err != nil {
			t.Fatal(err)
		}
		if len(ids) != 1 || ids[0] != 1 {
			t.Fatalf("cut at %d: events %v before the last is complete", cut, ids)
		}
		p.Feed([]byte(stream[len(stream)-1:]), got)
		if len(ids) != 2 || ids[1] != 2 {
			t.Fatalf("cut at %d: events %v", cut, ids)
		}
	}
	var p Parser
	if err := p.Feed(make([]byte, MaxEventBytes+1), func(Event) {}); err == nil {
		t.Error("no error for an endless line")
	}
}

// TestParserLineEndings: a stream gives the same events with each of the line ends of the standard, also
// where a piece ends between a CR and its LF, and with a byte order mark before it.
func TestParserLineEndings(t *testing.T) {
	plain := event(1, true, server("a", "up", 0)) + ": comment\n" +
		event(2, false, server("a", "draining", 0))
	for _, end := range []string{"\n", "\r\n", "\r"} {
		for _, mark := range []string{"", "\ufeff"} {
			stream := mark + strings.ReplaceAll(plain, "\n", end) + ": next" + end
			for cut := range stream {
				var p Parser
				var ids []uint64
				got := func(ev Event) { ids = append(ids, ev.ID) }
				for _, piece := range []string{stream[:cut], stream[cut:]} {
					if err := p.Feed([]byte(piece), got); err != nil {
						t.Fatal(err)
					}
				}
				if len(ids) != 2 || ids[0] != 1 || ids[1] != 2 {
					t.Fatalf("line end %q, mark %q, cut at %d: events %v", end, mark, cut, ids)
				}
			}
		}
	}
}

// newFollower returns a Follower at 50 ms of its own and of Unix time.
func newFollower() *Follower {
	const now = 50 * time.Millisecond
	clock := starttime.New(starttime.RecentStarts, time.UnixMilli(50), now)
	return NewFollower(func() time.Duration { return now }, clock)
}

// TestClockSecondsAhead: a wall clock that is seconds ahead when the dispatcher starts makes no compute node
// look older that is reported as it starts.
func TestClockSecondsAhead(t *testing.T) {
	const ahead, zero, news = 5 * time.Second, time.Hour, 300 * time.Millisecond
	truth := time.UnixMilli(1_000_000_000)
	now := zero
	clock := starttime.New(starttime.RecentStarts, truth.Add(ahead), zero)
	f := NewFollower(func() time.Duration { return now }, clock)
	for i, at := range []time.Duration{10 * time.Second, 20 * time.Second} {
		now = zero + at + news
		var p Parser
		started := truth.Add(at).UnixMilli()
		p.Feed([]byte(event(i+1, false, server(fmt.Sprint("n", i), "up", started))), func(ev Event) {
			list, _, err := f.Apply(ev)
			if err != nil {
				t.Fatal(err)
			}
			if age := now - list.Engines[0].StartedAt; age > news+time.Second {
				t.Errorf("started %v ago, taken for %v", news, age)
			}
		})
	}
}

// FuzzFollower: whatever a discovery sends, reading it ends without a panic, and the last revision never
// goes back.
func FuzzFollower(f *testing.F) {
	f.Add([]byte(event(1, true, server("a", "up", 0)) + event(2, false, server("a", "removed", 5))))
	f.Add([]byte("id: 7\ndata: {\"rev\":7}\n\nid: 8\ndata\n\n:\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Parser
		follower := newFollower()
		p.Feed(b, func(ev Event) {
			last := follower.LastRevision()
			if _, v, err := follower.Apply(ev); follower.LastRevision() < last ||
				(err != nil || v != Applied) &&
					follower.LastRevision() != last {
				t.Errorf("from %d to %d, %v, %v", last, follower.LastRevision(), v, err)
			}
		})
	})
}

// TestFollower: what was applied before is passed over, a gap and what can't be read change nothing, a
// compute node that was removed has no address, and starts are on the module's clock.
func TestFollower(t *testing.T) {
	f := newFollower()
	take := func(text string) (cresspass.Event, ApplyResult, error) {
		var p Parser
		var ev Event
		p.Feed([]byte(text), func(e Event) { ev = e })
		return f.Apply(ev)
	}
	list, v, err := take(event(3, true, server("a", "up", 0)+","+server("b", "up", 50)))
	if err != nil || v != Applied || list.ListType != cresspass.ListComplete || len(list.Engines) != 2 ||
		list.Engines[1].StartedAt != 50*time.Millisecond || list.Engines[0].StartedAt != 0 {
		t.Fatalf("%+v, %v, %v", list, v, err)
	}
	_, v, err = take(event(3, false, server("b", "removed", 0)))
	if v != Duplicate || err != nil || f.Addr("b") == "" {
		t.Errorf("reported twice: %v, %v", v, err)
	}
	if _, v, err = take(event(5, false, server("b", "removed", 0))); v != Gap || err != nil ||
		f.LastRevision() != 3 {
		t.Errorf("gap: %v, %v, last %d", v, err, f.LastRevision())
	}
	if _, _, err = take("id: 4\ndata: {\"rev\":4,\"pool\":{\"serv\n\n"); err == nil || f.LastRevision() != 3 {
		t.Error("a truncated event was applied")
	}
	if _, _, err = take(event(4, false, server("b", "confused", 0))); err == nil || f.LastRevision() != 3 {
		t.Error("an unknown state was applied")
	}
	_, v, err = take(event(4, false, server("b", "removed", 0)))
	if v != Applied || err != nil || f.Addr("b") != "" {
		t.Errorf("%v, %v, address %q", v, err, f.Addr("b"))
	}
	if f.AcceptsQueries("b", f.Addr("b")) || !f.AcceptsQueries("a", f.Addr("a")) ||
		f.AcceptsQueries("a", "elsewhere:1") {
		t.Error("accepts queries: one that was removed, not one that is up, or one elsewhere")
	}
	if removed := f.TakeRemoved(); len(removed) != 1 || removed[0] != "b" {
		t.Errorf("removed: %v", removed)
	}
	_, v, _ = take(event(9, true, server("c", "up", 0)))
	if v != Applied || f.Addr("a") != "" || f.Addr("c") == "" {
		t.Errorf("a full list after a gap: %v", v)
	}
	at := f.Addr("c")
	if f.AcceptsQueries("a", f.Addr("a")) || !f.AcceptsQueries("c", at) {
		t.Error("one that a full list leaves out accepts queries, or one on it does not")
	}
	if _, v, _ = take(event(10, false, server("c", "draining", 0))); v != Applied || f.Addr("c") != at ||
		f.AcceptsQueries("c", at) || !f.Draining("c") || f.Draining("a") {
		t.Error("a draining one accepts queries, or has no address for those that it runs")
	}
}
