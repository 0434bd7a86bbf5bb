package pgsession

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/goldentest"
	"cresspass/internal/protocol/pgwire"
)

// event is one input of a session.
type event func(s *Session)

// send returns the event that the client sends bytes.
func send(b []byte) event { return func(s *Session) { s.Receive(b) } }

// finish returns the event that an engine ends the running query.
func finish(kind enginequery.Kind, tag string, status byte, b []byte, failed bool) event {
	return func(s *Session) {
		if tag != "" {
			s.CommandComplete(tag)
		}
		s.Affinity.ReadyForQuery(0, status)
		s.QueryEnded(kind, b, failed)
	}
}

// copyMode is the event that an engine sends CopyInResponse.
func copyMode(s *Session) { s.StartCopyIn() }

func startup(parameters ...string) event {
	return send(pgwire.AppendStartup(nil, pgwire.Version30, parameters...))
}

func query(text string) event { return send(pgwire.AppendText(nil, 'Q', text)) }

// extended returns the event that the client sends messages of the extended protocol and a Sync.
func extended(all ...[]byte) event {
	var b []byte
	for _, m := range all {
		b = append(b, m...)
	}
	return send(pgwire.AppendSync(b))
}

// The startup of a client, and the last messages of a successful and of a failed query.
var (
	user   = startup("user", "u")
	done   = pgwire.AppendText(nil, 'C', "SELECT 1")
	failed = pgwire.AppendFields(nil, 'E', &pgwire.Fields{Severity: "ERROR", Code: "42P01",
		Message: "no table"})
)

func parse(name, text string, types ...byte) []byte {
	return pgwire.AppendParse(nil, name, text, types)
}

func bind(portal, statement string) []byte {
	return pgwire.AppendBind(nil, portal, statement, []byte{0, 0, 0, 0, 0, 0}) // no values
}

func target(kind, targetKind byte, name string) []byte {
	return pgwire.AppendTarget(nil, kind, targetKind, name)
}

func execute(portal string, rows int32) []byte { return pgwire.AppendExecute(nil, portal, rows) }

// conversation is a named sequence of events of one session.
type conversation struct {
	name   string
	events []event
}

// TestClientBytesAreStable plays conversations with clients and compares everything sent to the client and
// every query for an engine with the output of the version that introduced this test.
func TestClientBytesAreStable(t *testing.T) {
	var got strings.Builder
	for _, c := range slices.Concat(startupConversations(), queryConversations(), extendedConversations(),
		violationConversations(), copyConversations()) {
		fmt.Fprintf(&got, "== %s\n", c.name)
		s := New(
			&Config{ServerVersion: "16.0 (cresspass)", MaxPending: 64, MaxPrepared: 2},
			7,
			strings.Repeat("k",
				32),
		)
		for _, e := range c.events {
			e(s)
			transcribe(&got, s)
		}
	}
	goldentest.Compare(t, "conversations.txt", []byte(got.String()))
}

// startupConversations are about the startup phase.
func startupConversations() []conversation {
	return []conversation{
		{"startup", []event{user}},
		{"startup with a database and a name", []event{startup("user", "u", "database", "d",
			"application_name", "a", "client_encoding", "UTF8")}},
		{"startup of version 3.2", []event{send(pgwire.AppendStartup(nil, pgwire.Version32, "user", "u"))}},
		{"startup of a later version", []event{send(pgwire.AppendStartup(nil, pgwire.Version32+5, "user",
			"u"))}},
		{"startup with an unknown option", []event{startup("user", "u", "_pq_.some", "1")}},
		{"startup with options", []event{startup("user", "u", "options",
			`-c statement_timeout=3min -cextra_float_digits=2 --search_path=a\ b --DateStyle=German`),
			query("show statement_timeout"), query("select 1")}},
		{"startup with a replayed setting", []event{startup("user", "u", "TimeZone", "Europe/Paris"),
			query("show timezone"), query("reset all"), query("select 1"),
			finish(enginequery.Simple, "SELECT 1", 'I', done, false), query("set timezone = 'UTC'")}},
		{"startup with a setting that is not served", []event{startup("user", "u", "work_mem", "1GB")}},
		{"startup with a wrong time", []event{startup("user", "u", "statement_timeout", "x")}},
		{"startup without a user", []event{startup("database", "d")}},
		{"startup for replication", []event{startup("user", "u", "replication", "database")}},
		{"startup of version 2", []event{send(pgwire.AppendStartup(nil, 2<<16, "user", "u"))}},
		{"startup in pieces behind a request for encryption", []event{send([]byte{0, 0, 0, 8, 4, 210, 22,
			48}),
			send([]byte{0, 0}), send([]byte{0, 16, 0, 3, 0, 0, 'u', 's', 'e'}),
			send([]byte("r\x00u\x00\x00"))}},
		{"request for encryption", []event{send([]byte{0, 0, 0, 8, 4, 210, 22, 47}),
			send([]byte{0, 0, 0, 8, 4, 210, 22, 48}), user}},
		{"startup too long", []event{send([]byte{0, 1, 0, 0, 0, 3, 0, 0})}},
		{"cancel request", []event{send(pgwire.AppendCancel(nil, 7, []byte("kkkk")))}},
	}
}

// queryConversations use the simple protocol.
func queryConversations() []conversation {
	simple := []event{user}
	for _, text := range []string{"", ";", "show statement_timeout", "set statement_timeout = '5s'",
		"show statement_timeout", "set statement_timeout to default", "set statement_timeout = 250",
		"set statement_timeout = 'soon'", "set application_name to 'me'", "show application_name",
		"show server_version", "show server_encoding", "show client_encoding", "show datestyle",
		"show timezone", "show time zone", "show standard_conforming_strings", "show extra_float_digits",
		"show integer_datetimes", "show transaction_read_only", "show transaction isolation level",
		"show default_transaction_isolation", "show transaction_isolation",
		"show default_transaction_read_only",
		"set client_encoding = 'UTF-8'", "show client_encoding", "set names 'utf8'", "set time zone 'UTC'",
		"set datestyle = 'ISO, MDY'", "set extra_float_digits = 3; show extra_float_digits",
		"reset statement_timeout", "reset all", "discard temp", "discard all", "deallocate nothing",
		"deallocate all", "deallocate prepare \"x\""} {
		simple = append(simple, query(text))
	}
	return []conversation{
		{"simple queries served here", simple},
		{"simple query", []event{user, query("select 1"), finish(enginequery.Simple, "SELECT 1", 'I', done,
			false),
			query("select nothing"), finish(enginequery.Simple, "", 'I', failed, true),
			query("show timezone")}},
		{"transaction", []event{user, query("begin"), finish(enginequery.Simple, "BEGIN", 'T',
			pgwire.AppendText(nil, 'C', "BEGIN"), false), query("show timezone"),
			finish(enginequery.Simple, "SHOW", 'T', done, false), query("bad"), finish(enginequery.Simple, "",
				'E', failed,
				true),
			query("rollback"), finish(enginequery.Simple, "ROLLBACK", 'I', done, false),
			query("show timezone")}},
		{"replayed setting", []event{user, query("set search_path = a"),
			finish(enginequery.Simple, "SET", 'I', done, false), query("select 1"),
			finish(enginequery.Simple, "SELECT 1", 'I', done, false), query("show search_path")}},
		{"session state", []event{user, query("create temp table t (a int)"),
			finish(enginequery.Simple, "CREATE TABLE", 'I', done, false), query("show timezone"),
			finish(enginequery.Simple, "SHOW", 'I', done, false), query("discard all"),
			finish(enginequery.Simple, "DISCARD ALL", 'I', done, false), query("show timezone")}},
	}
}

// extendedConversations use the extended protocol.
func extendedConversations() []conversation {
	return []conversation{
		{"extended query", []event{user, extended(parse("s", "select $1", 0, 0, 0, 25), bind("", "s"),
			target('D', 'P', ""), execute("", 0)), finish(enginequery.Execute, "SELECT 1", 'I', done,
			false)}},
		{"extended query that fails", []event{user, extended(parse("", "select 1"), bind("", ""),
			execute("", 5), target('D', 'S', "")), finish(enginequery.Execute, "", 'I', failed, true),
			query("show timezone")}},
		{"portal described by itself", []event{user, extended(parse("", "select 1"), bind("p", ""),
			target('D', 'P', "p"), target('C', 'P', "p")), finish(enginequery.DescribePortal, "", 'I', nil,
			false)}},
		{"statement described", []event{user, extended(parse("a", "select 1"), target('D', 'S', "a")),
			finish(enginequery.DescribeStatement, "", 'I', nil, false)}},
		{"extended query served here", []event{user, extended(parse("a", "show timezone"), target('D', 'S',
			"a"),
			bind("", "a"), target('D', 'P', ""), execute("", 0)), extended(parse("b", ""), bind("", "b"),
			target('D', 'P', ""), execute("", 0)), query("deallocate a"), extended(target('D', 'S', "a"))}},
		{"names that are taken or missing", []event{user, extended(parse("a", "select 1"), parse("a",
			"select 2")),
			extended(bind("p", "a"), bind("p", "a")), extended(bind("", "none")), extended(execute("none",
				0)),
			extended(target('D', 'P', "none")), extended(target('D', 'S', "none")),
			extended(target('C', 'S', "none"), target('C', 'P', "none")), extended(parse("b", "select 2")),
			extended(parse("c", "select 3")), extended(parse("", "select 1; select 2"))}},
		{"portal executed twice", []event{user, extended(parse("", "select 1"), bind("", ""), execute("", 1)),
			finish(enginequery.Execute, "", 'I', nil, false), extended(bind("", ""), execute("", 1),
				execute("", 1)),
			finish(enginequery.Execute, "", 'I', nil, false)}},
		{"portal in a transaction", []event{user, query("begin"), finish(enginequery.Simple, "BEGIN", 'T',
			done,
			false),
			extended(parse("", "select 1"), bind("p", ""), execute("p", 1)),
			finish(enginequery.Execute, "", 'T', nil, false), extended(execute("p", 1)),
			finish(enginequery.Execute, "SELECT 1", 'T', done, false)}},
	}
}

// violationConversations violate the protocol or a limit, or use messages that are ignored.
func violationConversations() []conversation {
	return []conversation{
		{"function call", []event{user, send(pgwire.Append(nil, 'F', []byte{1}))}},
		{"message out of place", []event{user, send(pgwire.Append(nil, 'p', nil))}},
		{"message of no known type", []event{user, send([]byte("~~~~~~"))}},
		{"broken message", []event{user, send(pgwire.Append(nil, 'Q', []byte("no end")))}},
		{"copy data out of place, flush and terminate", []event{user, send(pgwire.Append(nil, 'd',
			[]byte("x"))),
			send(pgwire.Append(nil, 'c', nil)), send(pgwire.AppendFlush(nil)),
			send(pgwire.Append(nil, 'X', nil)), query("select 1")}},
		{"too much sent ahead", []event{user, query("select 1"), query(strings.Repeat("x", 20)),
			query(strings.Repeat("x", 200)), finish(enginequery.Simple, "SELECT 1", 'I', done, false)}},
		{"sent ahead", []event{user, query("select 1"), query("select 2"), query("show timezone"),
			finish(enginequery.Simple, "SELECT 1", 'I', done, false), finish(enginequery.Simple, "SELECT 1",
				'I', done,
				false)}},
	}
}

// copyConversations copy data into an engine; the last one is terminated by the server.
func copyConversations() []conversation {
	return []conversation{
		{"copy", []event{user, query("copy t from stdin"), copyMode, send(pgwire.Append(nil, 'd',
			[]byte("1\n"))),
			send(pgwire.AppendFlush(nil)), send(pgwire.Append(nil, 'c', nil)),
			finish(enginequery.Simple, "COPY 1", 'I', pgwire.AppendText(nil, 'C', "COPY 1"), false)}},
		{"copy that the client fails", []event{user, query("copy t from stdin"), copyMode,
			send(pgwire.AppendText(nil, 'f', "why not"))}},
		{"copy with a query in it", []event{user, query("copy t from stdin"), copyMode,
			send(pgwire.Append(nil, 'd', []byte("1\n"))), query("select 1"),
			finish(enginequery.Simple, "", 'I', failed, true)}},
		{"copy and terminate", []event{user, query("copy t from stdin"), copyMode,
			send(pgwire.Append(nil, 'X', nil))}},
		{"ended from our side", []event{user, func(s *Session) { s.Terminate("57P01", "over") },
			func(s *Session) { s.Terminate("57P01", "again") }}},
	}
}

// transcribe writes a session's outputs and state after an event: a line for each message, two for a query.
func transcribe(w *strings.Builder, s *Session) {
	w.WriteString("--\n")
	for b := s.Output(); len(b) > 0; {
		if b[0] == 'N' && len(b) == 1 { // the answer to a request for encryption has no message format
			w.WriteString("client N\n")
			break
		}
		n := 1 + int(b[1])<<24 + int(b[2])<<16 + int(b[3])<<8 + int(b[4])
		fmt.Fprintf(w, "client %q %q\n", b[0], b[5:n])
		b = b[n:]
	}
	if a := s.TakeQuery(); a != nil {
		fmt.Fprintf(w, "engine kind %d text %q types %q bind %q describe %v portal %q more %v rows %d\n",
			a.Kind,
			a.Text, a.ParameterTypes, a.BindBody, a.WithDescribe, a.Portal, a.ContinuePortal, a.MaxRows)
		fmt.Fprintf(
			w,
			"       bound %v pinned %v begins %v rest %v settings %q key %q copies %v\n",
			a.Sticky,
			a.Stateful,
			a.MayBecomeSticky,
			a.OutsideTransaction,
			sessionparams.Diff(nil, a.Settings),
			a.PrepareKey(),
			a.MayCopyIn(),
		)
	}
	if b, end := s.TakeCopyData(); len(b) > 0 || end != 0 {
		fmt.Fprintf(w, "copy %q end %d\n", b, end)
	}
	if r := s.CancelRequest(); r != nil {
		fmt.Fprintf(w, "cancel %d %q\n", r.PID, r.Secret)
	}
	fmt.Fprintf(
		w,
		"started %v busy %v over %v full %v user %q database %q application %q timeout %v\n",
		s.Started(),
		s.Busy(),
		s.Closing(),
		s.Backlogged(),
		s.User,
		s.Database,
		s.Application(),
		s.StatementTimeout(),
	)
}
