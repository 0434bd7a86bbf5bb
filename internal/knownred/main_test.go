package main

import "testing"

// TestEntriesAreWhole checks that an entry is accepted only if it names a test that exists or the soak, a
// command with its seed, what was seen and an issue.
func TestEntriesAreWhole(t *testing.T) {
	tests := map[string]bool{"TestA": true, "TestB": true}
	const good = "TestA | go test -run TestA; seed 7 | fails | issue 40\n" +
		"soak | cresspass soak --seed 3 | lost | issue 40\nTestB | x, no seed | fails | issue 4\n"
	entries, err := parse(good, tests)
	if err != nil || len(entries) != 3 {
		t.Fatalf("%d entries, %v", len(entries), err)
	}
	if got := testPattern(entries); got != "^(TestA|TestB)$" {
		t.Errorf("tests %q", got)
	}
	if got := testPattern(nil); got != "" {
		t.Errorf("no entry gives the tests %q", got)
	}
	for name, line := range map[string]string{
		"no parts":        "TestA fails now and then; issue 36",
		"no such test":    "TestC | seed 7 | fails | issue 40",
		"no test's name":  "flaky | seed 7 | fails | issue 40",
		"no seed":         "TestA | go test | fails | issue 40",
		"nothing seen":    "TestA | seed 7 |   | issue 40",
		"no issue":        "TestA | seed 7 | fails | soon",
		"part of a name":  "Test | seed 7 | fails | issue 40",
		"a part too many": "TestA | seed 7 | fails | issue 40 | more",
	} {
		if _, err := parse(line, tests); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
