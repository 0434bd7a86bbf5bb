package classify

import (
	"strings"
	"testing"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/config"
	"cresspass/internal/protocol/sqlscan"
)

// TestGoldenStatementErrors checks that the code and the text of statement errors, which clients receive, do
// not change.
func TestGoldenStatementErrors(t *testing.T) {
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
		query := &enginequery.Query{Text: text, Parsed: sqlscan.Statements(text)}
		if _, err := New(cfg).Classify(1, Client{}, query); err == nil || *err != want {
			t.Errorf("%s: error %+v, want %+v", text, err, want)
		}
	}
}
