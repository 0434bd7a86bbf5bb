package layers

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"
)

// layers lists the layers, groups of packages, from the programs at the top down to the packages that import
// nothing of this module. A package may import packages of its own layer and of the layers below it. An entry
// matches one package and, where it ends in /..., the packages below it as well; the longest matching entry
// counts.
var layers = [][]string{
	{"cmd/..."},
	{"simulation/...", "rehearsal/...", "soak", "standin"}, // for tests and operators only
	{"daemon"},             // the life cycle of `cresspass serve`
	{"server", "platform"}, // the two servers that assemble a dispatcher
	{"frontend/..."},
	{"config", "storage", "membership/..."},
	{"backend/...", "affinity/...", "discovery/..."},
	{"dispatch/...", "invariant", "eventlog", "overload/...", "wire", "recording"},
	{"."}, // the decision module
	{"protocol/...", "netlisten", "timingwheel", "bytebudget", "oserr", "tcpinfo", "daemon/signals",
		"daemon/lifecycle"},
	// These import nothing of this module.
	{"elfcheck", "goldentest", "tcptest", "knownred", "layers", "experiments", "rehearsals"},
}

// layerOf returns the index of a package's layer, or -1 where no entry matches it.
func layerOf(name string) int {
	layer, longest := -1, -1
	for i, group := range layers {
		for _, entry := range group {
			base, tree := strings.CutSuffix(entry, "/...")
			matches := name == base || tree && strings.HasPrefix(name, base+"/")
			if matches && len(base) > longest {
				layer, longest = i, len(base)
			}
		}
	}
	return layer
}

// TestImportsPointDownwards fails where a package imports one of a higher layer, or belongs to no layer.
func TestImportsPointDownwards(t *testing.T) {
	const module = "cresspass"
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", module+"/...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	short := func(path string) string {
		if path == module {
			return "."
		}
		return strings.TrimPrefix(strings.TrimPrefix(path, module+"/"), "internal/")
	}
	checked := 0
	for decoder := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p struct {
			ImportPath string
			Imports    []string
		}
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("go list: %v", err)
		}
		from := layerOf(short(p.ImportPath))
		if from < 0 {
			t.Errorf("%s belongs to no layer", p.ImportPath)
			continue
		}
		for _, imported := range p.Imports {
			if imported != module && !strings.HasPrefix(imported, module+"/") {
				continue
			}
			checked++
			if layerOf(short(imported)) < from {
				t.Errorf("%s imports %s, which is in a higher layer", p.ImportPath, imported)
			}
		}
	}
	if checked == 0 {
		t.Fatal("no import was checked")
	}
}

func TestLongestEntryCounts(t *testing.T) {
	if signals := layerOf("daemon/signals"); signals != layerOf("oserr") {
		t.Errorf("daemon/signals is in layer %d, want that of oserr", signals)
	}
	if daemon := layerOf("daemon"); daemon >= layerOf("server") {
		t.Errorf("daemon is in layer %d, want one above server", daemon)
	}
	if unknown := layerOf("unknown"); unknown != -1 {
		t.Errorf("unknown is in layer %d, want none", unknown)
	}
}
