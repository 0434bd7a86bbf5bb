package rulecheck

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func testParameters() Parameters {
	return Parameters{
		Classes: map[string]Class{
			"lookup": {Effect: EffectIdempotent, Deadline: 5 * time.Second},
			"load": {Effect: EffectIdempotentWithKey, DeduplicationScope: ScopeZone,
				DeduplicationWindow: 3 * time.Second, Deadline: 10 * time.Second, OrderedByKey: true},
			"write": {Effect: EffectNotIdempotent, Deadline: 5 * time.Second},
			"bound": {Effect: EffectIdempotent, Deadline: 5 * time.Second, AllowedZones: []string{"b"}},
		},
		AnswerGrace:             100 * time.Millisecond,
		DrainGrace:              time.Second,
		SlowStartFrom:           0.5,
		SlowStartDuration:       10 * time.Second,
		SlowStartOverloadFactor: 2,
		SlowStartWindow:         time.Second,
		OrderSettleDelay:        500 * time.Millisecond,
		HasRetryBudget:          true,
		RetryBudgetFree:         2,
		RetryBudgetRatio:        0.1,
		RetryBudgetWindow:       10 * time.Second,
		ClockSkew:               10 * time.Millisecond,
	}
}

func testRequest(id, class, key string, t, end int, code string) *Request {
	return &Request{ID: id, Class: class, Key: key, Dispatcher: "d0", At: at(t), FinalAt: at(end), Code: code,
		FinalCount: 1}
}

func testAttempt(id, class, engine string, t, end int, code string) *Attempt {
	return &Attempt{
		ID:         id,
		Class:      class,
		Engine:     engine,
		Dispatcher: "d0",
		At:         at(t),
		End:        at(end),
		Code:       code,
		Done:       code == "",
		Work:       0.1,
	}
}

// validLog returns traffic that keeps every rule.
func validLog() *Log {
	engines := map[string]Endpoint{"e1": {Zone: "a", Cores: 4}, "e2": {Zone: "b", Cores: 4, Started: at(0)}}
	return &Log{
		Notifications: []Notification{{At: at(-1000), Dispatcher: "d0", Engines: engines}},
		Requests: []*Request{
			testRequest("l1", "lookup", "", 0, 300, ""),
			testRequest("w1", "write", "", 0, 300, "08007"),
			testRequest("k1", "load", "x", 0, 500, ""),
			testRequest("k2", "load", "x", 100, 900, ""),
			testRequest("b1", "bound", "", 0, 300, ""),
		},
		Attempts: []*Attempt{
			testAttempt("l1", "lookup", "e1", 1, 100, "58000"),
			testAttempt("l1", "lookup", "e2", 110, 290, ""),
			testAttempt("w1", "write", "e1", 1, 200, "58000"),
			testAttempt("k1", "load", "e1", 1, 490, ""),
			testAttempt("k2", "load", "e1", 520, 890, ""),
			testAttempt("b1", "bound", "e2", 1, 290, ""),
		},
	}
}

func TestEachRuleIsCaught(t *testing.T) {
	if v := Check(testParameters(), validLog()); !AllKept(v) {
		t.Fatalf("verdicts on valid traffic: %v, want all kept", v)
	}
	for name, c := range map[string]struct {
		rule int
		do   func(l *Log)
	}{
		"no answer":             {1, func(l *Log) { l.Requests[0].FinalCount = 0 }},
		"two answers":           {1, func(l *Log) { l.Requests[0].FinalCount = 2 }},
		"rows after the answer": {1, func(l *Log) { l.Requests[0].MessagesAfterFinal = 1 }},
		"late answer":           {1, func(l *Log) { l.Requests[0].FinalAt = at(5200) }},
		"sent after its end":    {1, func(l *Log) { l.Attempts[1].At = at(400) }},
		"sent for nobody":       {1, func(l *Log) { l.Attempts[0].ID = "nobody" }},
		"skipped, yet sent":     {1, func(l *Log) { l.Requests[0].Skipped = true }},
		"left without an answer": {1, func(l *Log) {
			a := l.Requests[0]
			a.FinalCount, a.ConnectionEnded, a.ServerClosed = 0,
				at(300), true
		}},
		"stray rows": {1, func(l *Log) { l.StrayAnswers = 1 }},
		"unsafe sent twice": {2, func(l *Log) {
			l.Attempts = append(l.Attempts, testAttempt("w1", "write", "e2", 210,
				280, ""))
		}},
		"unsafe refused in doubt": {2, func(l *Log) { l.Requests[1].Code = "53000" }},
		"keyed after its window": {2, func(l *Log) {
			l.Requests[2].FinalAt = at(4000)
			l.Requests[3].FinalCount, l.Requests[3].ConnectionEnded = 0, at(200)
			l.Attempts = append(l.Attempts[:4], l.Attempts[5],
				testAttempt("k1", "load", "e1", 3600, 3900, ""))
		}},
		"keyed outside its zone": {2, func(l *Log) {
			l.Attempts = append(l.Attempts, testAttempt("k2", "load", "e2", 895,
				898, ""))
		}},
		"drained engine": {3, func(l *Log) {
			l.Notifications = append(l.Notifications, Notification{At: at(-1100 + 1), Dispatcher: "d0"})
			l.Notifications[0].At = at(-2000)
		}},
		"cold engine": {4, func(l *Log) {
			for i := range 60 {
				id := fmt.Sprint("c", i)
				l.Requests = append(l.Requests, testRequest(id, "lookup", "", 100, 900, ""))
				l.Attempts = append(l.Attempts, testAttempt(id, "lookup", "e2", 100+i, 900, ""))
			}
		}},
		"engine fell over":    {4, func(l *Log) { l.OverloadedEngines = []string{"e2"} }},
		"out of order":        {5, func(l *Log) { l.Attempts[4].At = at(300) }},
		"no rest after doubt": {5, func(l *Log) { l.Attempts[3].Code, l.Attempts[3].Done = "57014", false }},
		"wrong zone":          {6, func(l *Log) { l.Attempts[5].Engine = "e1" }},
		"session on two engines": {8, func(l *Log) {
			l.Attempts[3].Session, l.Attempts[4].Session = "s", "s"
			l.Attempts[4].PID = 9
		}},
		"another in a session": {8, func(l *Log) {
			l.Attempts[0].Session, l.Attempts[3].Session, l.Attempts[4].Session = "s", "s", "s"
		}},
		"too many attempts": {7, func(l *Log) {
			l.Attempts = append(l.Attempts,
				testAttempt("l1", "lookup", "e1", 291, 292, "58000"),
				testAttempt("l1", "lookup", "e1", 293, 294, "58000"),
				testAttempt("l1", "lookup", "e1", 295, 296, ""))
		}},
	} {
		l := validLog()
		c.do(l)
		var broken []string
		for _, v := range Check(testParameters(), l) {
			if !v.Kept {
				broken = append(broken, v.String())
			}
			if v.Rule == c.rule && v.Kept {
				t.Errorf("%s: rule %d counts as kept, want broken", name, c.rule)
			}
		}
		if len(broken) > 1 && name != "rows after the answer" {
			t.Errorf("%s: broken rules, want only rule %d:\n%s", name, c.rule, strings.Join(broken, "\n"))
		}
	}
	l := validLog()
	l.Unjudged = []string{"the relay fell behind"}
	if v := Check(testParameters(), l); AllKept(v) || v[0].Judged {
		t.Error("a log that cannot be judged counts as kept or judged")
	}
}

// serveOneQuery answers the startup of a connection, and then one query with the given number of final
// answers.
func serveOneQuery(c net.Conn, answers int) error {
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return err
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := b.Flush(); err != nil {
		return err
	}
	if _, err := b.Receive(); err != nil {
		return err
	}
	for range answers {
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
	}
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := b.Flush(); err != nil {
		return err
	}
	_, _ = b.Receive() // Terminate, or the end of the connection where the relay is closed first
	return nil
}

// TestRelaySeesBytes sends one query through a relay to a server that gives one, two or no final answers.
// Rule 1 must be kept with one answer and broken otherwise.
func TestRelaySeesBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var answers atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if err := serveOneQuery(c, int(answers.Load())); err != nil {
				t.Error("server:", err)
			}
			c.Close()
		}
	}()
	for n, want := range map[int]string{1: "", 2: "2 final answers", 0: "messages out of place"} {
		answers.Store(int32(n))
		rec := NewRecorder()
		r, err := rec.NewRelay(Clients, "d0", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		f := pgproto3.NewFrontend(c, c)
		f.Send(&pgproto3.StartupMessage{ProtocolVersion: 3 << 16, Parameters: map[string]string{"user": "u"}})
		flush := func() {
			t.Helper()
			if err := f.Flush(); err != nil {
				t.Fatal(err)
			}
		}
		awaitReady := func() {
			t.Helper()
			for {
				m, err := f.Receive()
				if err != nil {
					t.Fatal(err)
				}
				if _, ok := m.(*pgproto3.ReadyForQuery); ok {
					return
				}
			}
		}
		flush()
		awaitReady()
		f.Send(&pgproto3.Query{String: "select 1 /*id='q',class='lookup'*/"})
		flush()
		awaitReady()
		f.Send(&pgproto3.Terminate{})
		flush()
		c.Close()
		time.Sleep(20 * time.Millisecond)
		r.Close()
		log := rec.Stop(5 * time.Second)
		v := Check(testParameters(), log)[0]
		if len(log.Requests) != 1 || (want == "") != v.Kept ||
			want != "" && !strings.Contains(v.String(), want) {
			t.Errorf("%d answers: %d requests (want 1), verdict %v", n, len(log.Requests), v)
		}
	}
}

// TestListActedOnBeforeItsAcknowledgement guards against a false violation of rule 3: a dispatcher may use
// an engine as soon as the list with it is sent, before discovery has received the acknowledgement. An
// attempt before the list was sent is still a violation.
func TestListActedOnBeforeItsAcknowledgement(t *testing.T) {
	for _, c := range []struct {
		sent, at int
		kept     bool
	}{{3000, 3090, true}, {3040, 3090, false}} {
		l := validLog()
		all := l.Notifications[0].Engines
		l.Notifications = append(l.Notifications, Notification{Sent: at(-900), At: at(-900), Dispatcher: "d0",
			Engines: map[string]Endpoint{"e2": all["e2"]}},
			Notification{Sent: at(c.sent), At: at(c.at), Dispatcher: "d0", Engines: all})
		l.Attempts = []*Attempt{testAttempt("l1", "lookup", "e1", 3010, 3050, "")}
		l.Requests = []*Request{testRequest("l1", "lookup", "", 2990, 3060, "")}
		if v := Check(testParameters(), l)[2]; v.Kept != c.kept {
			t.Errorf("list sent at %d ms, attempt at 3010 ms: %v", c.sent, v)
		}
	}
}

// TestLaggingRelayIsNotJudged checks that no rule counts as kept when traffic was not decoded in time, or was
// decoded more than maxDecodingLag after its arrival.
func TestLaggingRelayIsNotJudged(t *testing.T) {
	rec := NewRecorder()
	rec.pending.Add(1) // a connection whose decoding never ends
	log := rec.Stop(10 * time.Millisecond)
	if v := Check(testParameters(), log); AllKept(v) || v[2].Judged || !strings.Contains(v[2].String(),
		"CANNOT BE JUDGED") {
		t.Errorf("verdicts on an incomplete log: %v, want none judged", v)
	}
	rec.pending.Done()
	rec.recordLag(6 * time.Second)
	if v := Check(testParameters(), rec.Stop(time.Second)); AllKept(v) {
		t.Error("a log that was decoded 6 s late counts as kept")
	}
}
