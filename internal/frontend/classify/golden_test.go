package classify

import (
	"strings"
	"testing"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/config"
	"cresspass/internal/protocol/sqlscan"
)

// TestGoldenFaults: clients receive the code and the text of a fault, so they outlive every rename in the
// code.
func TestGoldenFaults(t *testing.T) {
	cfg, err := config.Parse("c.hcl", []byte(strings.Replace(settings, "write_class    = \"once\"\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]StatementError{
		"select 1 /*class='a%22b'*/": {"22023",
			`the comment names class "a\"b", which the settings do not know`},
		"insert into t values (1)": {"0A000",
			`the statement may write, its class "short" is one that is repeated, ` +
				`and the settings name no write_class`},
	} {
		_, fault := New(
			cfg,
		).Classify(1, Client{}, &enginequery.Query{Text: text, Parsed: sqlscan.Statements(text)})
		if fault == nil || *fault != want {
			t.Errorf("%s: fault %+v, want %+v", text, fault, want)
		}
	}
}
