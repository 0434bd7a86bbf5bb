package validation

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
)

// peerEngines is how many engines the peers know.
const peerEngines = 12

// onAllEngines returns a message with the same load for each engine that the peers know.
func onAllEngines(kind, load byte) []byte {
	return message(kind, bytes.Repeat([]byte{load}, peerEngines)...)
}

// Guards against the rejection of honest peers' messages because they name engines that are not known here.
func TestHonestPeerKnowsMoreEngines(t *testing.T) {
	clock, first, other, _ := aggregators(t)
	for _, known := range []int{0, 1, 2, peerEngines} {
		v := newTestValidator(known)
		for now := 10 * second; now < 20*second; now += 250 * time.Millisecond {
			for name, data := range map[string][]byte{
				"a query":          message(sent, 0, 0, 0, 2),
				"a thread a core":  onAllEngines(report, engineCores),
				"relayed queries":  onAllEngines(relayed, 2),
				"sums of a thread": onAllEngines(sums, engineCores),
			} {
				from := first
				if now%(500*time.Millisecond) == 0 && name == "sums of a thread" {
					from = other
				}
				if got := v.Validate(now, clock, from, memberCount, data); got != Accepted {
					t.Fatalf("%d of %d engines known, %v: %s: %v", known, peerEngines, now, name, got)
				}
			}
		}
	}
}

// Guards against reports rejected as disproportionate, and sums rejected as contradicted, because loads on
// all engines are compared with the cores of the known ones only.
func TestComparesKnownEnginesOnly(t *testing.T) {
	clock, first, other, _ := aggregators(t)
	v := newTestValidator(2)
	now := 10 * second
	for peer := range 3 {
		data := message(report, 2, 2, 1)
		if peer == 2 {
			data = onAllEngines(report, 6)
		}
		if got := v.Validate(now, clock, 20+peer, memberCount, data); got != Accepted {
			t.Errorf("report %d: %v", peer, got)
		}
	}
	if got := v.Validate(now, clock, other, memberCount, onAllEngines(sums, 1)); got != Accepted {
		t.Errorf("low sums: %v", got)
	}
	high := message(sums, 2, 2, 30, 30, 30, 30)
	if got := v.Validate(now, clock, first, memberCount, high); got != Accepted {
		t.Errorf("sums that differ on engines unknown here: %v", got)
	}
}

// Guards against false loads that are accepted because some or all of the engines they name are not known
// here.
func TestLiarKnowsMoreEngines(t *testing.T) {
	clock, first, _, _ := aggregators(t)
	for _, known := range []int{0, 1, 2, 4} {
		v := newTestValidator(known)
		accepted := 0.0
		for i := range 1000 {
			now := 10*second + time.Duration(i)*time.Millisecond
			if v.Validate(now, clock, 100, memberCount, onAllEngines(sent, 2)) == Accepted {
				accepted += 2 * peerEngines
			}
		}
		cores := max(float64(known)*engineCores, presumedCores)
		if limit := 2 * (v.limits.MaxPeerThreadsPerCore*cores + v.limits.MaxQueryThreads); accepted > limit {
			t.Errorf("%d engines known: %v threads of small false loads accepted, at most %v",
				known, accepted, limit)
		}
		if got := v.Validate(20*second, clock, 101, memberCount, onAllEngines(sent, 9)); got != OutOfRange {
			t.Errorf("%d engines known: queries of nine threads: %v", known, got)
		}
		if known == 0 {
			continue // no message names an engine that the module has
		}
		for name, c := range map[string]struct {
			data []byte
			want Result
		}{
			"all ejected":     {onAllEngines(sums, cresspass.PeerLoadEjected), ImplausibleOutage},
			"254 everywhere":  {onAllEngines(sums, 254), OutOfRange},
			"alone, overload": {onAllEngines(sums, 60), Contradicted},
		} {
			if got := v.Validate(30*second, clock, first, memberCount, c.data); got != c.want {
				t.Errorf("%d engines known: %s: %v, want %v", known, name, got, c.want)
			}
		}
	}
}

// twoOfOneTag returns two engines that share a tag.
func twoOfOneTag(t *testing.T) (a, b cresspass.EngineID) {
	t.Helper()
	seen := map[uint16]cresspass.EngineID{}
	for i := range 1 << 17 {
		id := engineID(i)
		if other, known := seen[cresspass.EngineTag(id)]; known {
			return other, id
		}
		seen[cresspass.EngineTag(id)] = id
	}
	t.Fatal("no two engines share a tag")
	return "", ""
}

// Guards against honest loads on two engines that share a tag being compared with the cores, the reported
// load or the response of only one of them.
func TestEnginesThatShareATag(t *testing.T) {
	clock, first, _, _ := aggregators(t)
	a, b := twoOfOneTag(t)
	tag := cresspass.EngineTag(a)
	two := func(kind, loadA, loadB byte) []byte {
		return []byte{kind, byte(tag >> 8), byte(tag), loadA, byte(tag >> 8), byte(tag), loadB}
	}
	rapid.Check(t, func(t *rapid.T) {
		v := New(DefaultLimits(2))
		small := rapid.Float64Range(1, 8).Draw(t, "cores")
		v.SetEngines(map[cresspass.EngineID]float64{a: small, b: 64})
		now := 10 * second
		v.RecordResponse(now, a, 1)
		v.RecordResponse(now, b, 60)
		if got := v.Validate(now, clock, first, memberCount, two(sums, 61, 0)); got != Accepted {
			t.Fatalf("the sum of both engines' loads: %v", got)
		}
		v.RecordResponse(now+5*second, b, 60)
		ejected := two(sums, cresspass.PeerLoadEjected, 60)
		if got := v.Validate(now+5*second, clock, first, memberCount, ejected); got != Accepted {
			t.Fatalf("one of both ejected, only the other answers: %v", got)
		}
		v.RecordResponse(now+5*second, a, 1)
		if got := v.Validate(now+5*second, clock, first, memberCount, ejected); got != ImplausibleOutage {
			t.Fatalf("one of both ejected, both answer: %v", got)
		}
		if got := v.Validate(now+10*second, clock, first, memberCount, two(sums, 254, 254)); got == Accepted {
			t.Fatal("254 threads on each of both engines accepted")
		}
	})
}

// Guards against a load that counts twice because its report arrives twice, as happens if one peer is the
// aggregator in two consecutive terms.
func TestRepeatedReportCountsOnce(t *testing.T) {
	clock, _, _, _ := aggregators(t)
	v := newTestValidator(4)
	for range 2 {
		v.Validate(10*second, clock, 1, memberCount, message(report, 5, 6))
	}
	if got := v.reports[1].knownTotal; got != 11 {
		t.Errorf("11 threads reported twice count as %v", got)
	}
}
