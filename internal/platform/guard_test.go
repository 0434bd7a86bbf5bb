package platform

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cresspass/internal/invariant"
	"cresspass/internal/protocol/thrift"
)

// retryBudgetSettings returns settings with which each request allows one retry, for the time lookBack after
// the request was accepted.
func retryBudgetSettings(lookBack time.Duration) string {
	return fmt.Sprintf(`"grace-to-answer-us":5000,"free-resends":0,"further-ratio":1,"look-back-us":%d`,
		lookBack.Microseconds())
}

const noRetryBudget = `"grace-to-answer-us":5000`

// TestRetryBudgetRecheckedAtSend checks that a retry is not sent if it was within the budget when it was
// decided on, but then waited for a descriptor until the requests that allowed it had left the window.
func TestRetryBudgetRecheckedAtSend(t *testing.T) {
	for lookBack, want := range map[time.Duration]int{100 * time.Millisecond: 1, 5 * time.Second: 2} {
		h := newHarnessWith(t, 256, noRetryBudget, retryBudgetSettings(lookBack))
		var longTickets []string
		for i := range minNodeConns {
			longTickets = append(longTickets, ticket(i+1))
		}
		lastTicket := ticket(minNodeConns + 1)
		h.node.keepRunning(250*time.Millisecond, longTickets...)
		usual := h.node.handler
		h.node.setHandler(func(w http.ResponseWriter, req *http.Request, call, id string) bool {
			if call == "POST" && id == lastTicket && h.node.callCount("POST "+lastTicket) == 1 {
				h.frontend.descriptors.clientConns.Store(
					1 << 20,
				) // so that no connection is allowed beyond those of the long queries
				w.Header().Set("Connection", "close")
				w.WriteHeader(500)
				return true
			}
			return usual(w, req, call, id)
		})
		client := h.dial()
		for _, id := range longTickets {
			client.send(requestFields(id, "quick", "5000"))
		}
		eventually(t, "the long queries run", func() bool { return h.node.callCount("POST") == minNodeConns })
		other := h.dial()
		other.mustServe(99, 1)         // a served request allows one retry for the time lookBack
		time.Sleep(3 * reuseDelay / 2) // until its connection may be reused; no other one is idle
		seq := client.send(requestFields(lastTicket, "quick", "5000"))
		got := client.receive()
		if kind := []string{"", "shed", "answer"}[want]; got.kind != kind || got.seq != seq {
			t.Errorf("with a window of %v: %+v", lookBack, got)
		}
		if n := h.node.callCount("POST " + lastTicket); n != want {
			t.Errorf("with a window of %v: %d attempts, want %d", lookBack, n, want)
		}
	}
}

// TestUnservedRequestsAddNoRetryBudget checks that requests which are not served, such as those of unknown
// clients, allow no retries.
func TestUnservedRequestsAddNoRetryBudget(t *testing.T) {
	h := newHarnessWith(t, 256, noRetryBudget, retryBudgetSettings(time.Minute))
	h.node.setHandler(func(w http.ResponseWriter, _ *http.Request, call, _ string) bool {
		if call == "POST" {
			w.WriteHeader(500)
		}
		return call == "POST"
	})
	client := h.dial()
	for i := range 20 {
		client.send(requestFields(ticket(i+1), "quick", "5000"))
		if got := client.receive(); got.kind != "shed" {
			t.Errorf("got %+v, want a rejection", got)
		}
	}
	if n := h.node.callCount("POST"); n != 20 {
		t.Errorf("%d attempts for 20 requests of which none was served, want 20", n)
	}
}

// TestGuardRejectsInvalidOperations checks that operations which the guard forbids are not carried out: a
// request that arrives while the dispatcher does not serve is rejected, and a second answer to a request is
// not written.
func TestGuardRejectsInvalidOperations(t *testing.T) {
	h := newHarness(t, 256)
	client := h.dial()
	client.mustServe(1, 1)
	h.guard.setServing(false)
	client.send(requestFields(ticket(2), "quick", "2000"))
	if got := client.receive(); got.kind != "shed" {
		t.Errorf("request while not serving: got %+v, want a rejection", got)
	}
	h.guard.setServing(true)
	seq := h.sendHeld(client, 3)
	h.frontend.mu.Lock()
	q := h.frontend.registry.OpenRequestsOn(h.onlyConn().id)[0]
	h.frontend.mu.Unlock()
	h.guard.complete(q, true) // as if another goroutine had answered the request
	if h.frontend.respondResult(q.ID, [][]byte{[]byte("a\tb\tc\n")}) {
		t.Error("a second answer was written")
	}
	client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 99))
	if n := h.node.callCount("POST " + ticket(2)); n != 0 {
		t.Errorf("%d queries sent while not serving", n)
	}
	for _, name := range []invariant.Name{invariant.AcceptedWhileNotServing, invariant.AnsweredTwice} {
		if n := h.guard.counter.Violations()[name]; n == 0 {
			t.Errorf("violation %s was not counted", name)
		}
	}
}
