package sqlscan

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestFingerprint: texts have the same fingerprint exactly if they have the same shape.
func TestFingerprint(t *testing.T) {
	shapes := [][]string{
		{"select a from t where b = 1", "SELECT a\nFROM t -- note\nWHERE b=$1;",
			"select a from t where b = 'x''y'",
			"select a from t where b = -1.5e3", "/* k='v' */ select a from t where b = e'\\''",
			"select a from t where b = $tag$ x $tag$ ;;", "select a from t where b = true"},
		{"select a from t where b in (1)", "select a from t where b in (1, 2, 3)",
			"select a from t where b in ($1,$2)"},
		{"insert into t values (1, 'a')", "insert into t values (1, 'a'), (2, 'b'), (-3, 'c')"},
		{"select a - 1 from t", "select a - 2 from t"},
		{"select a from t where b = c"}, {"select a from \"T\" where b = 1"},
		{"select a from t2 where b = 1"},
		{"select a from t where b > 1"}, {"select a from t where b = 1; select 1"}, {"select a, 1 from t"},
		{"select a from t where b is null"}, {""}, {"select f(1)(2)"},
	}
	seen := map[uint64]string{}
	for _, texts := range shapes {
		want := Fingerprint(texts[0])
		if other, known := seen[want]; known {
			t.Errorf("%q and %q have the same fingerprint", texts[0], other)
		}
		seen[want] = texts[0]
		for _, text := range texts[1:] {
			if Fingerprint(text) != want {
				t.Errorf("%q and %q have different fingerprints", text, texts[0])
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune("aZ1 '\"$-/*;,()=é\\n\x00"))).Draw(t, "text")
		a := Fingerprint(text)
		if a != Fingerprint(text) || !strings.ContainsAny(text, "'\"$/-") &&
			a != Fingerprint(strings.ToUpper(text)) &&
			!strings.Contains(text, "é") {
			t.Fatal(text)
		}
	})
}

func BenchmarkFingerprint(b *testing.B) {
	text := "select o.id, sum(l.price * (1 - l.discount)) from orders o join lines l on l.order_id = o.id " +
		"where o.day >= '2026-01-01' and o.state in ('a', 'b', 'c') group by 1 order by 2 desc limit 10"
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		Fingerprint(text)
	}
}
