package enginequery

import (
	"testing"

	"cresspass/internal/backend/sessionparams"
)

// Guards against a session that is given the cached description of another session's tables.
func TestDescriptionsAreSharedByEqualSettings(t *testing.T) {
	var none *sessionparams.Set
	a, b := none.With("search_path", "set search_path = a"), none.With("search_path", "set search_path = b")
	key := func(settings *sessionparams.Set) string {
		key, ok := (&Query{Text: "select * from t", Settings: settings}).DescriptionKey()
		if !ok {
			t.Errorf("%v: the description is not shared", settings)
		}
		return key
	}
	if key(a) == key(b) || key(a) == key(none) {
		t.Error("one description for two search paths")
	}
	if key(a) != key(none.With("search_path", "set search_path = a")) || key(none) != key(nil) {
		t.Error("two descriptions for equal settings")
	}
	if _, ok := (&Query{Text: "select * from t", Sticky: true}).DescriptionKey(); ok {
		t.Error("a description of a session on its own connection is shared")
	}
}
