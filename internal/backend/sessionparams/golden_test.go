package sessionparams

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cresspass/internal/goldentest"
	"cresspass/internal/protocol/sqlscan"
)

// TestStatementsAreStable compares the statements that replay a session's settings, and the parsing of SET,
// with the output of the version that introduced this test.
func TestStatementsAreStable(t *testing.T) {
	var got strings.Builder
	for _, value := range []string{"", "a", "a, b", `it's`, `back\slash`, "ä"} {
		fmt.Fprintf(&got, "value %q\n", SetConfigStatement("search_path", value))
	}
	var names []string
	for name := range replayedSettings {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&got, "replayed %s told as %q\n", name, Reported(name))
	}
	a := (*Set)(nil).With("search_path", "set search_path = a").With("jit", "set jit = off")
	b := a.With("search_path", "set search_path = b").With("geqo", "set geqo = off").With("jit", "")
	fmt.Fprintf(&got, "from none %q\nfrom a %q\nto none %q\n", Diff(nil, a), Diff(a, b), Diff(b, nil))
	for _, text := range []string{"set search_path = a, b", "SET SESSION TimeZone TO 'x=y TO z'",
		"set local jit = off", "set time zone 'Europe/Paris'", "set time zone local", "set names 'latin1'",
		`set "Search_Path" to a`, "set datestyle to default", "set my.x=1", "set x", "set role none",
		"set transaction read only", "set session characteristics as transaction read only"} {
		st := sqlscan.Statements(text)[0]
		name, value, ok := ParseAssignment(&st)
		change, replay := ChangeOf(&st)
		fmt.Fprintf(&got, "assignment %q: %q %q %v; change %q %v\n", text, name, value, ok, change, replay)
	}
	goldentest.Compare(t, "statements.txt", []byte(got.String()))
}
