package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"cresspass/internal/goldentest"
)

// TestGoldenHelp compares the --help output of the program and of each sub-command, hidden ones included,
// with testdata/help. kong derives the names of commands and flags from fields. Scripts and documentation
// rely on these names and on the defaults, so renaming a field must not rename its flag.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("COLUMNS", "100")
	dir := filepath.Join("testdata", "help")
	expected := map[string]bool{}
	for _, path := range commandPaths(t) {
		name := strings.Join(append([]string{"cresspass"}, path...), "-") + ".txt"
		expected[name] = true
		goldentest.Compare(t, "help/"+name, helpOf(t, path))
	}
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if !expected[f.Name()] {
			t.Errorf("%s: the sub-command is gone", f.Name())
		}
	}
}

// commandPaths returns the arguments that name each sub-command; the empty path is the program itself.
func commandPaths(t *testing.T) [][]string {
	t.Helper()
	parser, err := kong.New(&cli{}, parserOptions()...)
	if err != nil {
		t.Fatal(err)
	}
	paths := [][]string{{}}
	var walk func(node *kong.Node, path []string)
	walk = func(node *kong.Node, path []string) {
		for _, child := range node.Children {
			if child.Type != kong.CommandNode {
				continue
			}
			childPath := append(append([]string{}, path...), child.Name)
			paths = append(paths, childPath)
			walk(child, childPath)
		}
	}
	walk(parser.Model.Node, nil)
	return paths
}

// helpOf returns what a sub-command prints for --help.
func helpOf(t *testing.T, path []string) (help []byte) {
	t.Helper()
	type exited int
	var out bytes.Buffer
	parser, err := kong.New(&cli{}, append(parserOptions(), kong.Writers(&out, &out),
		kong.Exit(func(code int) { panic(exited(code)) }))...)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if code, ok := recover().(exited); !ok || code != 0 {
			t.Errorf("%s --help does not exit with 0", strings.Join(path, " "))
		}
		help = out.Bytes()
	}()
	_, err = parser.Parse(append(append([]string{}, path...), "--help"))
	t.Errorf("%s --help was parsed as a command: %v", strings.Join(path, " "), err)
	return nil
}
