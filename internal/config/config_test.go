package config

import (
	"os"
	"strings"
	"testing"

	"cresspass"
)

const validSettings = `default_class = "lookup"
write_class   = "load"
roster { eds = "127.0.0.1:1" }
kind "std" { cores = 8 }
class "lookup" {
  aim      = "1s"
  deadline = "5s"
  effect   = "safe"
}
class "load" {
  aim      = "1s"
  deadline = "5s"
  effect   = "keyed"
  window   = "15s"
  scope    = "zone"
}
match {
  class   = "load"
  pattern = "(?i)^insert"
}
`

func TestErrorsNameTheirPosition(t *testing.T) {
	cfg, err := Parse("f.hcl", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if c := cfg.Module.Classes[1]; c.Effect != cresspass.IdempotentWithKey ||
		c.DeduplicationScope != cresspass.ScopeZone || c.PriorityWeight != 1 {
		t.Errorf("class read as %+v", c)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"127.0.0.1:1"`, `"10.0.0.1:1"`, `f.hcl:3:16: eds: 10.0.0.1:1 is not on the loopback interface`},
		{`default_class = "lookup"`, `default_class = "x"`,
			`f.hcl:1:17: default_class: there is no class "x"`},
		{`default_class = "lookup"`, "default_class = \"lookup\"\nlisten = \"0.0.0.0:6432\"",
			`f.hcl:2:10: listen: 0.0.0.0:6432 is not`},
		{`"load"`, `"lookup"`, `write_class: class "lookup" is safe to repeat`},
		{`aim      = "1s"`, `aim      = "fast"`, `f.hcl:6:14: aim: "fast" is no time`},
		{`effect   = "keyed"`, `effect   = "sure"`,
			`f.hcl:13:14: effect: "sure" is none of keyed, safe, unsafe`},
		{`window   = "15s"`, ``, `window: a keyed class needs`},
		{`cores = 8`, `cores = 0`, `f.hcl:4:22: cores: must be above 0`},
		{`(?i)^insert`, `(`, `f.hcl:19:13: pattern:`},
		{`class "load"`, `class "lookup"`, `class: "lookup" given twice`},
		{`effect   = "safe"`, `effect   = "safe"` + "\n  speed = 3", `f.hcl:9:3: Unsupported argument`},
		{`kind "std" {`, `kind "std" `, `f.hcl:4:`},
		{`roster { eds = "127.0.0.1:1" }`, ``, `roster: a block roster`},
		{`scope    = "zone"`, `on_kinds = ["big"]`, `f.hcl:15:14: on_kinds: there is no kind "big"`},
		{`scope    = "zone"`, `late_value = -1`, `a figure is negative`},
	} {
		if _, err := Parse("f.hcl", []byte(strings.Replace(validSettings, c.from, c.to, 1))); err == nil ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: %v, want %q", c.to, c.from, err, c.want)
		}
	}
	// Two errors are reported together.
	two := strings.Replace(strings.Replace(validSettings, `"1s"`, `"fast"`, 1), `cores = 8`, `cores = -1`, 1)
	if _, err := Parse("f.hcl", []byte(two)); err == nil || strings.Count(err.Error(), "f.hcl:") != 2 {
		t.Errorf("two errors: %v", err)
	}
	overrides := Overrides{Listen: "192.168.0.1:5", Ordinal: -1}
	if err := overrides.Apply(cfg); err == nil {
		t.Error("an override with an address off the loopback interface was applied")
	}
}

func TestRepositoryFilesLoad(t *testing.T) {
	if _, err := Load("../../cmd/cresspass/demo.hcl"); err != nil {
		t.Error(err)
	}
	if _, err := Load("no-such-file"); !os.IsNotExist(err) {
		t.Error(err)
	}
}
