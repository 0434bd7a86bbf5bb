package rulecheck

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

var zero = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }

func figures() Parameters {
	return Parameters{Classes: map[string]Class{
		"lookup": {Effect: "safe", Deadline: 5 * time.Second},
		"load": {Effect: "keyed", Scope: "zone", Window: 3 * time.Second, Deadline: 10 * time.Second,
			InOrder: true},
		"write": {Effect: "unsafe", Deadline: 5 * time.Second},
		"bound": {Effect: "safe", Deadline: 5 * time.Second, Zones: []string{"b"}},
	}, AnswerGrace: 100 * time.Millisecond, DrainGrace: time.Second, ColdFrom: 0.5, ColdFor: 10 * time.Second,
		ColdMultiple: 2, ColdWindow: time.Second, OrderRest: 500 * time.Millisecond, HasBudget: true,
		BudgetFree:  2,
		BudgetShare: 0.1, BudgetLookBack: 10 * time.Second, Skew: 10 * time.Millisecond}
}

func ask(id, class, key string, t, end int, code string) *Request {
	return &Request{ID: id, Class: class, Key: key, Dispatcher: "d0", At: at(t), Final: at(end), Code: code,
		Finals: 1}
}

func send(id, class, engine string, t, end int, code string) *Attempt {
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

// validLog is traffic that keeps every rule.
func validLog() *Log {
	on := map[string]Endpoint{"e1": {Zone: "a", Cores: 4}, "e2": {Zone: "b", Cores: 4, Started: at(0)}}
	return &Log{
		Notifications: []Notification{{At: at(-1000), Dispatcher: "d0", Engines: on}},
		Requests: []*Request{ask("l1", "lookup", "", 0, 300, ""), ask("w1", "write", "", 0, 300, "08007"),
			ask("k1", "load", "x", 0, 500, ""), ask("k2", "load", "x", 100, 900, ""), ask("b1", "bound", "",
				0, 300, "")},
		Attempts: []*Attempt{
			send("l1", "lookup", "e1", 1, 100, "58000"),
			send("l1", "lookup", "e2", 110, 290, ""),
			send("w1", "write", "e1", 1, 200, "58000"),
			send("k1", "load", "e1", 1, 490, ""),
			send("k2", "load", "e1", 520, 890, ""),
			send("b1", "bound", "e2", 1, 290, ""),
		},
	}
}

func TestEachRuleIsCaught(t *testing.T) {
	if v := Judge(figures(), validLog()); !AllKept(v) {
		t.Fatalf("sound traffic: %v", v)
	}
	for name, c := range map[string]struct {
		rule int
		do   func(l *Log)
	}{
		"no answer":             {1, func(l *Log) { l.Requests[0].Finals = 0 }},
		"two answers":           {1, func(l *Log) { l.Requests[0].Finals = 2 }},
		"rows after the answer": {1, func(l *Log) { l.Requests[0].After = 1 }},
		"late answer":           {1, func(l *Log) { l.Requests[0].Final = at(5200) }},
		"sent after its end":    {1, func(l *Log) { l.Attempts[1].At = at(400) }},
		"sent for nobody":       {1, func(l *Log) { l.Attempts[0].ID = "nobody" }},
		"skipped, yet sent":     {1, func(l *Log) { l.Requests[0].Skipped = true }},
		"left without an answer": {1, func(l *Log) {
			a := l.Requests[0]
			a.Finals, a.Gone, a.ServerGone = 0,
				at(300), true
		}},
		"stray rows": {1, func(l *Log) { l.Stray = 1 }},
		"unsafe sent twice": {2, func(l *Log) {
			l.Attempts = append(l.Attempts, send("w1", "write", "e2", 210,
				280, ""))
		}},
		"unsafe refused in doubt": {2, func(l *Log) { l.Requests[1].Code = "53000" }},
		"keyed after its window": {2, func(l *Log) {
			l.Requests[2].Final, l.Requests[3].Finals, l.Requests[3].Gone = at(4000), 0, at(200)
			l.Attempts = append(l.Attempts[:4], l.Attempts[5], send("k1", "load", "e1", 3600, 3900, ""))
		}},
		"keyed outside its zone": {2, func(l *Log) {
			l.Attempts = append(l.Attempts, send("k2", "load", "e2", 895,
				898, ""))
		}},
		"drained engine": {3, func(l *Log) {
			l.Notifications = append(l.Notifications, Notification{At: at(-1100 + 1), Dispatcher: "d0"})
			l.Notifications[0].At = at(-2000)
		}},
		"cold engine": {4, func(l *Log) {
			for i := range 60 {
				id := fmt.Sprint("c", i)
				l.Requests = append(l.Requests, ask(id, "lookup", "", 100, 900, ""))
				l.Attempts = append(l.Attempts, send(id, "lookup", "e2", 100+i, 900, ""))
			}
		}},
		"engine fell over":    {4, func(l *Log) { l.Fallen = []string{"e2"} }},
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
			l.Attempts = append(l.Attempts, send("l1", "lookup", "e1", 291, 292, "58000"), send("l1",
				"lookup",
				"e1", 293, 294, "58000"), send("l1", "lookup", "e1", 295, 296, ""))
		}},
	} {
		l := validLog()
		c.do(l)
		var broken []string
		for _, v := range Judge(figures(), l) {
			if !v.Kept {
				broken = append(broken, v.String())
			}
			if v.Rule == c.rule && v.Kept {
				t.Errorf("%s: rule %d is said to be kept", name, c.rule)
			}
		}
		if len(broken) > 1 && name != "rows after the answer" {
			t.Errorf("%s: more than rule %d broke:\n%s", name, c.rule, strings.Join(broken, "\n"))
		}
	}
	l := validLog()
	l.Unjudged = []string{"the relay fell behind"}
	if v := Judge(figures(), l); AllKept(v) || v[0].Judged {
		t.Error("a log that cannot be judged is said to be kept")
	}
}

// A relay before a server that answers twice, or not at all, is what the judge then complains of.
func TestRelaySeesBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	answers := 1
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b := pgproto3.NewBackend(c, c)
			b.ReceiveStartupMessage()
			b.Send(&pgproto3.AuthenticationOk{})
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			b.Flush()
			b.Receive()
			for range answers {
				b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
			}
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			b.Flush()
			b.Receive()
			c.Close()
		}
	}()
	for n, want := range map[int]string{1: "", 2: "2 final answers", 0: "messages out of place"} {
		answers = n
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
		f.Flush()
		ready := func() {
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
		ready()
		f.Send(&pgproto3.Query{String: "select 1 /*id='q',class='lookup'*/"})
		f.Flush()
		ready()
		f.Send(&pgproto3.Terminate{})
		f.Flush()
		c.Close()
		time.Sleep(20 * time.Millisecond)
		r.Close()
		log := rec.Stop(5 * time.Second)
		v := Judge(figures(), log)[0]
		if len(log.Requests) != 1 || (want == "") != v.Kept ||
			want != "" && !strings.Contains(v.String(), want) {
			t.Errorf("%d answers: %d asks, %v", n, len(log.Requests), v)
		}
	}
}

// A dispatcher acts on a list as soon as it is sent, before its word of taking it has come back.
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
		l.Attempts = []*Attempt{send("l1", "lookup", "e1", 3010, 3050, "")}
		l.Requests = []*Request{ask("l1", "lookup", "", 2990, 3060, "")}
		if v := Judge(figures(), l)[2]; v.Kept != c.kept {
			t.Errorf("list sent at %d ms, send at 3010: %v", c.sent, v)
		}
	}
}

// A recorder that cannot keep up says so; nothing is called kept that was not read.
func TestLaggingRelayIsNotJudged(t *testing.T) {
	rec := NewRecorder()
	rec.pending.Add(1) // a stream that is never decoded to its end
	log := rec.Stop(10 * time.Millisecond)
	if v := Judge(figures(), log); AllKept(v) || v[2].Judged || !strings.Contains(v[2].String(),
		"CANNOT BE JUDGED") {
		t.Errorf("verdicts of a log that is not whole: %v", v)
	}
	rec.pending.Done()
	rec.recordLag(6 * time.Second)
	if v := Judge(figures(), rec.Stop(time.Second)); AllKept(v) {
		t.Error("a relay that fell behind by 6 s is believed")
	}
}
