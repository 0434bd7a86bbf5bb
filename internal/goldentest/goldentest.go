// Package goldentest compares what a test produced with a golden file: bytes that an earlier version wrote,
// kept under the testdata directory of the package that is tested. Golden files hold formats that are stored
// or sent, so a change to a golden file is a change to a format that other versions read.
//
// Tests never write a golden file unless the environment variable UPDATE_GOLDEN is 1. The package knows
// nothing of the formats, and no code outside of tests may import it.
package goldentest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

const (
	// updateVariable is the environment variable that makes tests rewrite golden files if it is updateValue.
	updateVariable = "UPDATE_GOLDEN"
	updateValue    = "1"
	// excerptBytes is the number of bytes of a line that a failure shows before, and from, the first
	// difference.
	excerptBytes = 100
)

// Compare fails the test unless testdata/NAME holds exactly the bytes got. The failure shows the first
// difference. With UPDATE_GOLDEN=1 the file is written first.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	Update(t, name, got)
	want := Read(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: %s", path(name), firstDifference(got, want))
	}
}

// Read returns the bytes of testdata/NAME, and ends the test if it cannot read them.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatalf("read the golden file: %v", err)
	}
	return data
}

// Update writes testdata/NAME if UPDATE_GOLDEN=1, and does nothing otherwise. It is for tests that must
// compare decoded content, because the encoded bytes (compressed ones, for example) depend on a library's
// version. Any other test uses Compare.
func Update(t testing.TB, name string, current []byte) {
	t.Helper()
	if os.Getenv(updateVariable) != updateValue {
		return
	}
	if err := os.MkdirAll(filepath.Dir(path(name)), 0o755); err != nil {
		t.Fatalf("create the directory of the golden file: %v", err)
	}
	if err := os.WriteFile(path(name), current, 0o644); err != nil {
		t.Fatalf("write the golden file: %v", err)
	}
}

// path returns the path of a golden file; a test runs in the directory of its package.
func path(name string) string { return filepath.Join("testdata", filepath.FromSlash(name)) }

// firstDifference describes the first difference of two byte slices, which must not be equal.
func firstDifference(got, want []byte) string {
	offset := 0
	for offset < len(got) && offset < len(want) && got[offset] == want[offset] {
		offset++
	}
	line := 1 + bytes.Count(got[:offset], []byte("\n"))
	return fmt.Sprintf("first difference in line %d, at byte %d; %d bytes, want %d\n got %q\nwant %q",
		line, offset, len(got), len(want), excerpt(got, offset), excerpt(want, offset))
}

// excerpt returns the line that holds the byte at offset, or the part within excerptBytes around it.
func excerpt(b []byte, offset int) []byte {
	start := 1 + bytes.LastIndexByte(b[:offset], '\n')
	end := len(b)
	if length := bytes.IndexByte(b[offset:], '\n'); length >= 0 {
		end = offset + length + 1
	}
	return b[max(start, offset-excerptBytes):min(end, offset+excerptBytes)]
}
