package recording

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawEntries(t *rapid.T) (out []Entry) {
	at := time.Duration(0)
	name := rapid.SampledFrom([]string{"", "a", "class of some length", "é\x00"})
	for range rapid.IntRange(0, 50).Draw(t, "entries") {
		at += time.Duration(rapid.IntRange(0, 1e6).Draw(t, "gap")) * time.Microsecond
		out = append(out, Entry{ArrivedAt: at, Elapsed: time.Duration(rapid.Uint32().Draw(t,
			"took")) * time.Microsecond,
			Class: name.Draw(t, "class"), Tenant: name.Draw(t, "tenant"), Dispatcher: name.Draw(t,
				"dispatcher"),
			Fingerprint: rapid.Uint64().Draw(t, "fingerprint"), Key: rapid.Uint64().Draw(t, "key"),
			Cost:    time.Duration(rapid.Uint32().Draw(t, "cost")) * time.Microsecond,
			Threads: float64(rapid.IntRange(0, 64).Draw(t, "threads")),
			Outcome: Outcome(
				rapid.IntRange(0, 3).Draw(t, "outcome"),
			), IsRetry: rapid.Bool().Draw(t, "repeat"),
			IsWrite: rapid.Bool().Draw(t, "write")})
	}
	return out
}

func readAll(b []byte) (all []Entry, skipped int, err error) {
	r, err := NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, 0, err
	}
	for {
		list, err := r.Next()
		if err != nil {
			return all, r.Skipped, err
		}
		all = append(all, list...)
	}
}

// Written entries are read back. A file that is truncated anywhere yields all of its complete blocks, and
// ErrTruncated unless it ends between two blocks. If a byte is changed, its block is lost; if the byte is in
// a block's length, the blocks after it are lost, too. No other entries are read in their place.
func TestTruncatedAndDamagedFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMicro(1764600000123456)
		b := AppendHeader(nil, Header{Start: start})
		var blocks [][]Entry
		ends := []int{len(b)}
		for range rapid.IntRange(1, 4).Draw(t, "blocks") {
			blocks = append(blocks, drawEntries(t))
			b = AppendBlock(b, blocks[len(blocks)-1])
			ends = append(ends, len(b))
		}
		var want []Entry
		for _, l := range blocks {
			want = append(want, l...)
		}
		got, skipped, err := readAll(b)
		if !reflect.DeepEqual(got, want) && len(got)+len(want) > 0 || skipped != 0 || !errors.Is(err,
			io.EOF) {
			t.Fatalf("%v %d %v, want %v", got, skipped, err, want)
		}
		cut := rapid.IntRange(0, len(b)).Draw(t, "cut")
		got, _, err = readAll(b[:cut])
		whole := 0
		for i := range blocks {
			if ends[i+1] <= cut {
				whole += len(blocks[i])
			}
		}
		atEnd := cut < headerSize
		for _, e := range ends {
			atEnd = atEnd || e == cut
		}
		if cut >= headerSize && (len(got) != whole || errors.Is(err, io.EOF) != atEnd || !atEnd &&
			!errors.Is(err,
				ErrTruncated)) {
			t.Fatalf("cut at %d of %v: %d entries of %d, %v", cut, ends, len(got), whole, err)
		}
		at := rapid.IntRange(headerSize, len(b)-1).Draw(t, "at")
		b[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "change"))
		got, _, _ = readAll(b)
		if len(got) >= len(want) && len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Fatal("a changed byte yielded different entries")
		}
		if _, _, err := readAll(rapid.SliceOf(rapid.Byte()).Draw(t, "any")); err == nil {
			t.Fatal("random bytes were read without an error")
		}
		if entries, _, err := readAll(AppendHeader(nil, Header{})); len(entries) > 0 || !errors.Is(err,
			io.EOF) {
			t.Fatalf("a header alone: %d entries, %v", len(entries), err)
		}
	})
}

// Scale multiplies the traffic by its factor, and keeps bursts and the share of the busiest tenth of the
// dispatchers.
func TestScaleKeepsUnevenness(t *testing.T) {
	var all []Entry
	for i := range 40 { // the first four of forty have half of the entries
		n := 100
		if i < 4 {
			n = 900
		}
		for k := range n {
			at := time.Duration(k) * 60 * time.Second / time.Duration(n)
			if k%2 == 0 {
				at = 30*time.Second + time.Duration(k)*time.Millisecond // half of them in one burst
			}
			all = append(
				all,
				Entry{ArrivedAt: at, Class: "c", Dispatcher: fmt.Sprint("d", i), Key: uint64(k % 7)},
			)
		}
	}
	all = Merge([][]Entry{all}, []time.Duration{0})
	burstShare := func(l []Entry) float64 {
		n := 0.0
		for _, e := range l {
			if e.ArrivedAt >= 29*time.Second && e.ArrivedAt < 32*time.Second {
				n++
			}
		}
		return n / float64(len(l))
	}
	busiestTenthShare := func(l []Entry) (sum float64) {
		s := Shares(l)
		for _, v := range s[:len(s)/10] {
			sum += v
		}
		return sum
	}
	for _, c := range []struct {
		factor float64
		n      int
	}{{1, 40}, {0.5, 20}, {4.5, 220}, {2, 10}} {
		var names []string
		for i := range c.n {
			names = append(names, fmt.Sprint("n", i))
		}
		got := Scale(all, c.factor, names, 10*time.Millisecond, 1)
		if r := float64(len(got)) / float64(len(all)) / c.factor; math.Abs(r-1) > 0.03 {
			t.Errorf("scaled by %g: %d entries from %d", c.factor, len(got), len(all))
		}
		if math.Abs(burstShare(got)-burstShare(all)) > 0.02 ||
			math.Abs(busiestTenthShare(got)-busiestTenthShare(all)) > 0.04 {
			t.Errorf("scaled by %g over %d: burst %.3f, was %.3f; busiest tenth %.3f, was %.3f",
				c.factor, c.n, burstShare(got), burstShare(all), busiestTenthShare(got),
				busiestTenthShare(all))
		}
	}
	if got := Cut(all, 10*time.Second, 20*time.Second); len(got) == 0 || got[0].ArrivedAt > time.Second ||
		got[len(got)-1].ArrivedAt >= 10*time.Second {
		t.Error("Cut returns entries outside of its interval, or none")
	}
}

// For any sequence of blocks, all files together stay within the total, a file exceeds its limit by one block
// at most, and the open file is kept. IsRecording does not accept the names of other files.
func TestRotate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{FileBytes: int64(rapid.IntRange(20, 2000).Draw(t, "file")),
			TotalBytes: int64(rapid.IntRange(3000, 9000).Draw(t, "total"))}
		var files []File
		open, n := "", 0
		for range rapid.IntRange(0, 80).Draw(t, "blocks") {
			block := int64(rapid.IntRange(1, 900).Draw(t, "block"))
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				open = ""
			}
			begin, remove := l.Rotate(append([]File(nil), files...), open, block)
			for _, name := range remove {
				if name == open && !begin {
					t.Fatal("the open file is to be removed")
				}
				for i := range files {
					if files[i].Name == name {
						files = append(files[:i], files[i+1:]...)
						break
					}
				}
			}
			if begin {
				n++
				open = FileName(time.UnixMicro(int64(n)))
				files = append(files, File{open, headerSize})
			}
			files[len(files)-1].Size += block
			sum := int64(0)
			for _, f := range files {
				sum += f.Size
				if !IsRecording(f.Name) ||
					f.Size > l.FileBytes+block+headerSize && f.Size > l.FileBytes+900+headerSize {
					t.Fatalf("%+v", f)
				}
			}
			if sum > l.TotalBytes {
				t.Fatalf("%d bytes, %d allowed: %+v", sum, l.TotalBytes, files)
			}
		}
	})
	for _, name := range []string{"notes.rec", "cresspass-1.rec", "cresspass-0000000000000000000x.rec", ""} {
		if IsRecording(name) {
			t.Errorf("%q is taken for a recording", name)
		}
	}
}

// Entries that Record accepted are read back from the directory, over several files and restarts. Entries
// that do not fit the queue are dropped and counted. If the directory is gone, blocks fail and are counted.
func TestRecorder(t *testing.T) {
	dir := t.TempDir()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	begin := time.UnixMicro(1764600000000000)
	for run := range 2 {
		r, err := NewRecorder(dir, Limits{FileBytes: 1 << 20, TotalBytes: 1 << 22}, log)
		if err != nil {
			t.Fatal(err)
		}
		accepted := uint64(0)
		for i := range 30000 {
			if r.Record(begin.Add(time.Duration(run*30000+i)*time.Millisecond), Entry{Class: "c",
				Fingerprint: uint64(i)}) {
				accepted++
			}
		}
		r.Close()
		if w, d, f := r.Counts(); w != accepted || w+d != 30000 || f != 0 {
			t.Errorf("%d written of %d, %d dropped, %d failed", w, accepted, d, f)
		}
	}
	found, _ := os.ReadDir(dir)
	var lists [][]Entry
	var shifts []time.Duration
	for _, f := range found {
		h, all, skipped, err := Load(filepath.Join(dir, f.Name()))
		if err != nil || skipped > 0 {
			t.Fatal(err, skipped)
		}
		lists, shifts = append(lists, all), append(shifts, h.Start.Sub(begin))
	}
	all := Merge(lists, shifts)
	for i := 1; i < len(all); i++ {
		if all[i].ArrivedAt <= all[i-1].ArrivedAt {
			t.Fatalf("%v after %v", all[i].ArrivedAt, all[i-1].ArrivedAt)
		}
	}
	if len(found) < 2 || len(all) < 10000 {
		t.Errorf("%d files, %d entries", len(found), len(all))
	}
	r, err := NewRecorder(filepath.Join(dir, "sub"), Limits{FileBytes: 100, TotalBytes: 1000}, log)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join(dir, "sub")); err != nil {
		t.Fatal(err)
	}
	r.Record(begin, Entry{})
	r.Close()
	if _, _, failed := r.Counts(); failed != 1 {
		t.Errorf("the directory is gone: %d blocks failed, want 1", failed)
	}
	path := filepath.Join(dir, "saved")
	if err := Save(path, Header{Start: begin}, all); err != nil {
		t.Fatal(err)
	}
	if _, loaded, _, err := Load(path); err != nil || !reflect.DeepEqual(loaded, all) {
		t.Errorf("saved and loaded: %d of %d, %v", len(loaded), len(all), err)
	}
}
