package sqlscan

import "testing"

// TestTags: the pairs of a well-formed sqlcommenter comment are returned; other comments give none.
func TestTags(t *testing.T) {
	tags := Tags(`select '/*class=''x''*/' /*class='report',key='a%2Fb%20c',traceparent='00-1'*/`)
	if len(tags) != 3 || tags["class"] != "report" || tags["key"] != "a/b c" {
		t.Errorf("tags %v", tags)
	}
	for _, text := range []string{"select 1", "/* plain words */ select 1", "/*class=report*/",
		"/*a='b' c='d'*/", "/*/"} {
		if tags := Tags(text); len(tags) != 0 {
			t.Errorf("%q: tags %v", text, tags)
		}
	}
}
