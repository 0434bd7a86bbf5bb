package goldentest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// failureRecorder is a testing.TB that records failures instead of reporting them.
type failureRecorder struct {
	testing.TB
	errors []string
	fatal  bool
}

func (f *failureRecorder) Helper() {}

func (f *failureRecorder) Errorf(format string, args ...any) {
	f.errors = append(f.errors, fmt.Sprintf(format, args...))
}

func (f *failureRecorder) Fatalf(format string, args ...any) {
	f.Errorf(format, args...)
	f.fatal = true
	runtime.Goexit()
}

// observe runs a test function until it returns or calls Fatalf, and returns its failures.
func observe(t *testing.T, test func(t testing.TB)) *failureRecorder {
	f := &failureRecorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		test(f)
	}()
	<-done
	return f
}

// inNewDirectory changes to a new directory whose testdata holds one file, and empties UPDATE_GOLDEN.
func inNewDirectory(t *testing.T, name, content string) {
	t.Helper()
	t.Chdir(t.TempDir())
	t.Setenv(updateVariable, "")
	file := filepath.Join("testdata", name)
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestCompareFailsOnAnyDifference(t *testing.T) {
	const content = "one\ntwo\nthree\n"
	inNewDirectory(t, "file.txt", content)
	for got, difference := range map[string]string{
		content:                 "",
		"one\ntwo\nthree":       `line 3, at byte 13; 13 bytes, want 14 got "three" want "three\n"`,
		"one\nTwo\nthree\n":     `line 2, at byte 4; 14 bytes, want 14 got "Two\n" want "two\n"`,
		"one\ntwo\nthree\nfour": `line 4, at byte 14; 18 bytes, want 14 got "four" want ""`,
		"":                      `line 1, at byte 0; 0 bytes, want 14 got "" want "one\n"`,
		"\xff" + content:        `line 1, at byte 0; 15 bytes, want 14 got "\xffone\n" want "one\n"`,
		"one\r\ntwo\nthree\n":   `line 1, at byte 3; 15 bytes, want 14 got "one\r\n" want "one\n"`,
	} {
		f := observe(t, func(t testing.TB) { Compare(t, "file.txt", []byte(got)) })
		if difference == "" {
			if len(f.errors) != 0 {
				t.Errorf("%q: failed with %q", got, f.errors)
			}
			continue
		}
		want := "testdata/file.txt: first difference in " + difference
		if len(f.errors) != 1 || strings.Join(strings.Fields(f.errors[0]), " ") != want {
			t.Errorf("%q: failures %q, want %q", got, f.errors, want)
		}
	}
	if stored, err := os.ReadFile("testdata/file.txt"); err != nil || string(stored) != content {
		t.Errorf("the file is now %q, %v", stored, err)
	}
}

func TestExcerptOfALongLineIsShort(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 10*excerptBytes)
	if n := len(excerpt(long, len(long)/2)); n != 2*excerptBytes {
		t.Errorf("an excerpt of %d bytes, want %d", n, 2*excerptBytes)
	}
}

func TestMissingFileEndsTheTest(t *testing.T) {
	inNewDirectory(t, "file.txt", "")
	for name, test := range map[string]func(t testing.TB){
		"Compare": func(t testing.TB) { Compare(t, "none.txt", nil) },
		"Read":    func(t testing.TB) { Read(t, "none.txt") },
	} {
		f := observe(t, test)
		if !f.fatal || len(f.errors) != 1 || !strings.Contains(f.errors[0], "none.txt") {
			t.Errorf("%s: fatal %v, failures %q", name, f.fatal, f.errors)
		}
	}
}

func TestOnlyUpdateGoldenOfOneWrites(t *testing.T) {
	for value, writes := range map[string]bool{"": false, "0": false, "true": false, "1": true} {
		t.Run("UPDATE_GOLDEN="+value, func(t *testing.T) {
			inNewDirectory(t, "below/file.txt", "old")
			t.Setenv(updateVariable, value)
			f := observe(t, func(t testing.TB) { Compare(t, "below/file.txt", []byte("new")) })
			want := "old"
			if writes {
				want = "new"
			}
			if stored := Read(t, "below/file.txt"); string(stored) != want {
				t.Errorf("the file holds %q, want %q", stored, want)
			}
			if failed := len(f.errors) > 0; failed == writes {
				t.Errorf("failures %q", f.errors)
			}
		})
	}
}

func TestUpdateCreatesDirectoryAndFile(t *testing.T) {
	t.Chdir(t.TempDir())
	t.Setenv(updateVariable, updateValue)
	Update(t, "below/file.bin", []byte{0, 255})
	if stored := Read(t, "below/file.bin"); !bytes.Equal(stored, []byte{0, 255}) {
		t.Errorf("the file holds %q", stored)
	}
}
