package soak

import (
	"strings"
	"testing"
	"time"
)

// TestTrace checks that a trace has a request's calls, runs, answers and machine lags in order of time, and
// that a finding names the request that foreign rows belong to.
func TestTrace(t *testing.T) {
	o := testOracle{newOracle(false)}
	o.updateRequest("a", func(r *observedRequest) {
		r.class, r.sentAt, r.limit = "quick", o.at(1), time.Second
	})
	o.updateRequest("b", func(r *observedRequest) {
		r.class, r.dispatcher, r.excused = "load", 3, excuseKilled
	})
	o.attempt("a", 2, 12, 30)
	o.post("a", 10)
	poll := observedCall{node: 2, connection: 7}
	poll.method, poll.page, poll.firstByteAt = "GET", "1", o.at(20)
	o.updateRequest("a", func(r *observedRequest) {
		r.calls = append(r.calls, poll)
		r.answers = append(r.answers, receivedAnswer{answerServed, "b\t0\tx\n", o.at(40)})
	})
	o.machineLags.lags = []machineLag{{o.at(35), 25 * time.Millisecond}, {o.at(5000), time.Second}}
	trace := strings.Join(o.trace("a"), "\n")
	last := 0
	for _, want := range []string{"sent by its client",
		"POST to node 0 on connection 0 (n0-0), told 100ms", "runs at node 2",
		"GET 1 to node 2 on connection 7", "ended at node 2", "the soak ran 25ms late", "served"} {
		at := strings.Index(trace, want)
		if at < last {
			t.Errorf("trace has no %q, or has it too early", want)
		}
		last = at
	}
	if strings.Contains(trace, "1s late") {
		t.Error("trace has a lag from another time")
	}
	findings := o.judge()
	if len(findings) != 1 || !strings.Contains(findings[0].Detail, "b (class load, dispatcher 3 life 0)") {
		t.Errorf("got findings %v, want one that names the owner of the rows", findings)
	}
	if t.Failed() {
		t.Log(trace)
	}
}
