package rehearsal

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"cresspass/internal/goldentest"
	"cresspass/internal/rehearsal/rulecheck"
)

// fillNonZero sets every field of a value, and of the values that it contains, to a non-zero value. Numbers
// and times follow from next, which counts the calls, so that they differ.
func fillNonZero(t *testing.T, v reflect.Value, next *int) {
	t.Helper()
	*next++
	if at, ok := v.Addr().Interface().(*time.Time); ok {
		*at = time.UnixMilli(1764600000000 + int64(*next)).UTC()
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillNonZero(t, v.Field(i), next)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillNonZero(t, v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillNonZero(t, v.Index(0), next)
	case reflect.Map:
		value := reflect.New(v.Type().Elem()).Elem()
		fillNonZero(t, value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("key"), value)
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	default:
		t.Fatalf("fillNonZero has no value for type %s", v.Type())
	}
}

// TestGoldenEvidence checks that the JSON form of stored evidence does not change, and that evidence which an
// earlier version stored can still be read and checked.
func TestGoldenEvidence(t *testing.T) {
	var e evidence
	next := 0
	fillNonZero(t, reflect.ValueOf(&e).Elem(), &next)
	text, err := json.MarshalIndent(e, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "evidence.json", text)
	golden := goldentest.Read(t, "evidence.json")
	var read evidence
	if err := json.Unmarshal(golden, &read); err != nil || !reflect.DeepEqual(read, e) {
		t.Errorf("read %+v, %v, want %+v", read, err, e)
	}
	dir := t.TempDir()
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	if _, err := z.Write(golden); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "traffic.json.gz"), zipped.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	day, seed, verdicts, err := CheckEvidence(dir)
	if err != nil || day != e.Day || seed != e.Seed ||
		!reflect.DeepEqual(verdicts, rulecheck.Check(e.Parameters, e.Log)) {
		t.Errorf("stored evidence: day %q, seed %d, verdicts %+v, error %v", day, seed, verdicts, err)
	}
}

// TestGoldenReport checks that the JSON form of a report's data does not change.
func TestGoldenReport(t *testing.T) {
	var parts struct {
		Verdicts []rulecheck.Verdict
		Troubles []Fault
		Samples  []Sample
		Watches  []EngineSample
	}
	next := 0
	fillNonZero(t, reflect.ValueOf(&parts).Elem(), &next)
	text, err := json.MarshalIndent(parts, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "report.json", text)
}
