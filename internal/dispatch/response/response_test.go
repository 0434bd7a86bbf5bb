package response

import (
	"slices"
	"testing"
	"time"

	"cresspass/internal/dispatch/verdict"
)

// recordingSink records a response's writes, in order.
type recordingSink []string

func (s *recordingSink) WritePartial(b []byte) { *s = append(*s, "partial "+string(b)) }
func (s *recordingSink) WriteFinal(b []byte, failed bool) {
	if failed {
		*s = append(*s, "failed "+string(b))
		return
	}
	*s = append(*s, "final "+string(b))
}
func (s *recordingSink) WriteVerdict(v *verdict.Verdict) { *s = append(*s, "verdict "+v.Kind.String()) }

const maxBuffered = 4

// TestOneFinalAnswer checks that a response writes exactly the expected bytes and verdicts for different
// orders of calls, and that a finished response has released all of its budget.
func TestOneFinalAnswer(t *testing.T) {
	rejection := verdict.Reject(time.Second, false, "")
	for name, c := range map[string]struct {
		act  func(t *testing.T, r *Response)
		want []string
	}{
		"buffered, then complete": {func(t *testing.T, r *Response) {
			expect(t, "begin", r.BeginAttempt(0), true)
			expect(t, "write", r.Write(0, []byte("ab")), true)
			expect(t, "finish", r.Finish(0, []byte("c"), false), true)
			expect(t, "finish again", r.Finish(0, []byte("d"), false), false)
			expect(t, "verdict", r.FinishWithVerdict(rejection), false)
			expect(t, "abandon", r.Abandon(), false)
		}, []string{"final abc"}},
		"retried while buffered": {func(t *testing.T, r *Response) {
			r.BeginAttempt(0)
			r.Write(0, []byte("ab"))
			expect(t, "failure", r.FailAttempt(0, verdict.Fail("")), false)
			expect(t, "begin", r.BeginAttempt(1), true)
			expect(t, "late write", r.Write(0, []byte("x")), false)
			r.Write(1, []byte("cd"))
			expect(t, "finish", r.Finish(1, nil, true), true)
		}, []string{"failed cd"}},
		"hedged: the attempt that began last owns the response": {func(t *testing.T, r *Response) {
			r.BeginAttempt(0)
			expect(t, "begin", r.BeginAttempt(1), true)
			expect(t, "finish of the first", r.Finish(0, []byte("a"), false), false)
			expect(t, "finish of the second", r.Finish(1, []byte("b"), false), true)
		}, []string{"final b"}},
		"streams once the buffer is full": {func(t *testing.T, r *Response) {
			r.BeginAttempt(0)
			r.Write(0, []byte("abc"))
			r.Write(0, []byte("de"))
			expect(t, "revoke", r.Revoke(0), false)
			expect(t, "begin", r.BeginAttempt(1), false)
			expect(t, "failure", r.FailAttempt(0, verdict.Fail("")), true)
		}, []string{"partial abc", "partial de", "verdict failed"}},
		"written through": {func(t *testing.T, r *Response) {
			r.BeginAttempt(0)
			r.Write(0, []byte("a"))
			expect(t, "write", r.WriteThrough(0, []byte("b")), true)
			expect(t, "revoke", r.Revoke(0), false)
			expect(t, "finish", r.Finish(0, []byte("c"), false), true)
		}, []string{"partial ab", "final c"}},
		"committed": {func(t *testing.T, r *Response) {
			r.BeginAttempt(0)
			expect(t, "commit", r.Commit(0), true)
			expect(t, "revoke", r.Revoke(0), false)
			expect(t, "begin", r.BeginAttempt(1), false)
			// The session has taken over the state of the engine's answer, which must then reach the client.
			expect(t, "verdict", r.FinishWithVerdict(rejection), false)
			expect(t, "finish", r.Finish(0, []byte("ab"), false), true)
			expect(t, "verdict", r.FinishWithVerdict(rejection), false)
		}, []string{"final ab"}},
		"committed, and the engine failed": {func(t *testing.T, r *Response) {
			r.BeginAttempt(0)
			r.Commit(0)
			expect(t, "verdict", r.FinishWithVerdict(rejection), false)
			expect(t, "failure", r.FailAttempt(0, verdict.Fail("")), true)
		}, []string{"verdict failed"}},
		"committed, and the client is gone": {func(t *testing.T, r *Response) {
			r.BeginAttempt(0)
			r.Commit(0)
			expect(t, "abandon", r.Abandon(), true)
			expect(t, "finish", r.Finish(0, []byte("ab"), false), false)
		}, nil},
		"revoked": {func(t *testing.T, r *Response) {
			r.BeginAttempt(0)
			r.Write(0, []byte("ab"))
			expect(t, "revoke", r.Revoke(0), true)
			expect(t, "write", r.Write(0, []byte("c")), false)
			expect(t, "commit", r.Commit(0), false)
			expect(t, "abandon", r.Abandon(), true)
			expect(t, "begin", r.BeginAttempt(1), false)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			sink, budget := &recordingSink{}, &BufferBudget{MaxBytes: maxBuffered}
			r := New(sink, budget, maxBuffered)
			c.act(t, r)
			if !slices.Equal(*sink, c.want) {
				t.Errorf("wrote %q, want %q", *sink, c.want)
			}
			select {
			case <-r.Done():
			default:
				t.Error("Done is not closed")
			}
			if n := budget.Used(); n != 0 {
				t.Errorf("%d bytes of the budget are still in use", n)
			}
		})
	}
}

// TestBudgetIsShared checks that a response does not buffer what exceeds the budget left by other responses.
func TestBudgetIsShared(t *testing.T) {
	budget := &BufferBudget{MaxBytes: 3}
	first, second := New(&recordingSink{}, budget, maxBuffered), &recordingSink{}
	first.BeginAttempt(0)
	first.Write(0, []byte("ab"))
	r := New(second, budget, maxBuffered)
	r.BeginAttempt(0)
	r.Write(0, []byte("cd"))
	if !slices.Equal(*second, []string{"partial cd"}) || budget.Used() != 2 {
		t.Errorf("wrote %q, %d bytes in use; want the bytes as partial, 2 in use", *second, budget.Used())
	}
}

func expect(t *testing.T, what string, got, want bool) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}
