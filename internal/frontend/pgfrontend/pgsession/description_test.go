package pgsession

import (
	"strings"
	"testing"

	"cresspass/internal/backend/enginequery"
)

// Guards against a session that is given the cached description of another session's tables.
func TestDescriptionsFollowSettings(t *testing.T) {
	var asked []string // keys
	cfg := &Config{CachedDescription: func(key string) []byte {
		asked = append(asked, key)
		return []byte("description")
	}}
	describe := extended(parse("", "select n from t"), target('D', 'S', ""))
	for _, c := range []struct {
		name   string
		events []event
		cached bool
	}{
		{"no settings", []event{user}, true},
		{"search path a", []event{startup("user", "u", "search_path", "a")}, true},
		{"search path b", []event{startup("user", "u", "search_path", "b")}, true},
		{"a temporary table", []event{user, query("create temp table t (n int)"),
			finish(enginequery.Simple, "CREATE TABLE", 'I', nil, false)}, false},
		{"a transaction", []event{user, query("begin"),
			finish(enginequery.Simple, "BEGIN", 'T', nil, false)}, false},
	} {
		s := New(cfg, 7, strings.Repeat("k", 32))
		before := len(asked)
		for _, e := range append(c.events, describe) {
			e(s)
			s.TakeQuery()
		}
		if cached := !s.Busy(); cached != c.cached || len(asked) > before != c.cached {
			t.Errorf("%s: described from the cache: %v, want %v", c.name, cached, c.cached)
		}
	}
	if len(asked) == 3 && (asked[0] == asked[1] || asked[1] == asked[2] || asked[0] == asked[2]) {
		t.Errorf("one description for three search paths: %q", asked)
	}
}
