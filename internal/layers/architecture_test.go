package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// TestArchitectureNamesFunctions fails where docs/architecture.md lists a function that the file in the same
// row does not declare.
func TestArchitectureNamesFunctions(t *testing.T) {
	const root = "../.."
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile("(?m)\\| `([A-Za-z.]+)` \\| `([a-z/]+\\.go)` \\|$")
	rows := row.FindAllStringSubmatch(string(page), -1)
	if len(rows) < 30 {
		t.Fatalf("%d rows with a function and its file, want at least 30", len(rows))
	}
	for _, r := range rows {
		name, file := r[1], r[2]
		if !declares(t, filepath.Join(root, file), name) {
			t.Errorf("%s declares no %s", file, name)
		}
	}
}

// declares reports whether a file declares a function, or a method in the form Type.Method.
func declares(t *testing.T, file, name string) bool {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Error(err)
		return false
	}
	for _, d := range parsed.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok {
			continue
		}
		declared := f.Name.Name
		if f.Recv != nil {
			receiver := f.Recv.List[0].Type
			if pointer, ok := receiver.(*ast.StarExpr); ok {
				receiver = pointer.X
			}
			if id, ok := receiver.(*ast.Ident); ok {
				declared = id.Name + "." + declared
			}
		}
		if declared == name {
			return true
		}
	}
	return false
}
