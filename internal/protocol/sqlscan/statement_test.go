package sqlscan

import (
	"strings"
	"testing"
)

// words returns the first words of each statement of a text.
func words(text string) string {
	var out []string
	for _, s := range Statements(text) {
		out = append(out, strings.TrimSpace(strings.Join(s.Words[:], " ")))
	}
	return strings.Join(out, "|")
}

// TestStatements: a text is split at semicolons outside quotes and comments.
func TestStatements(t *testing.T) {
	for text, want := range map[string]string{
		"":                                    "",
		" ;; -- only\n/* a /* nested */ ; */": "",
		"select 1":                            "SELECT",
		"begin; select 'a;b''c'; commit":      "BEGIN|SELECT|COMMIT",
		"select $$;begin;$$; end":             "SELECT|END",
		"select $x$;$$;$x$ from t;":           "SELECT FROM T",
		"select $1 + $2; set x = 1":           "SELECT|SET X",
		`select e'\';begin'; reset all`:       "SELECT|RESET ALL",
		`select '\'; begin`:                   "SELECT|BEGIN",
		`select "a;""b" from "T"`:             "SELECT FROM",
		"/* c */ Set /* d */ local\tx to 2":   "SET LOCAL X TO",
		"select 'unclosed; begin":             "SELECT",
		"select 1e5; listen é":                "SELECT|LISTEN É",
	} {
		if got := words(text); got != want {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
	}
}

// FuzzScan: no text makes scanning panic, and a comment before the text does not change its statements.
func FuzzScan(f *testing.F) {
	f.Add("begin; select $a$;$a$ /*class='x'*/ -- e\n;e'\\''")
	f.Fuzz(func(t *testing.T, text string) {
		Tags(text)
		all := Statements(text)
		again := Statements("/*c*/ " + text)
		if len(all) != len(again) {
			t.Fatalf("%d statements, %d after a leading comment", len(all), len(again))
		}
		for i := range all {
			if all[i] != again[i] {
				t.Fatalf("%q: %+v and %+v", text, all[i], again[i])
			}
		}
	})
}

// TestUnknownFunctions: names before a parenthesis are function calls, except where a list follows a name.
// Functions that are known to leave no state in the session are ignored.
func TestUnknownFunctions(t *testing.T) {
	for text, want := range map[string]string{
		"select count(*), sum(a) from t where b in (1, 2)":                   "",
		"select make_tables(1)":                                              "make_tables",
		"select public . Make_Tables (1)":                                    "Make_Tables",
		`select "Odd Name"(1)`:                                               "Odd Name",
		"insert into t (a, b) values (1, 2) returning f(a)":                  "f",
		"with x (a) as (select 1), y as materialized (select 2) select g(1)": "g",
		"select a as b (c) from t as u (a, b)":                               "",
		"create table t (a int)":                                             "",
		"select 'f(1)', \"f\" , f -- g(1)":                                   "",
		"select cast(a as numeric(10, 2)), a::varchar(10) from t":            "",
		"select pg_advisory_xact_lock(1)":                                    "",
		"update t set a = h(1)":                                              "h",
		"select lower(k(1))":                                                 "k",
		"explain (analyze) select 1":                                         "",
	} {
		if got := Statements(text)[0].Function; got != want {
			t.Errorf("%s: %q, want %q", text, got, want)
		}
	}
}
