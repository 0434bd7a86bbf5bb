package eds

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"cresspass/internal/goldentest"
)

// TestGoldenCachedList checks that a cache file of an earlier version is read, and that this version writes
// the same bytes.
func TestGoldenCachedList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := SaveCache(path, sampleList()); err != nil {
		t.Fatal(err)
	}
	current, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "cached-list", current)
	stored := goldentest.Read(t, "cached-list")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	if l, err := LoadCache(path); err != nil || !reflect.DeepEqual(l, sampleList()) {
		t.Errorf("the recorded list is read as %+v, %v", l, err)
	}
}

// TestGoldenAssignment checks that the discovery resource of an earlier version is read, and that this
// version produces an equal one.
func TestGoldenAssignment(t *testing.T) {
	assignment, err := NewAssignment("engines", sampleList())
	if err != nil {
		t.Fatal(err)
	}
	current, err := proto.MarshalOptions{Deterministic: true}.Marshal(assignment)
	if err != nil {
		t.Fatal(err)
	}
	// Compare messages, not bytes: another version of the library may encode an equal message differently.
	goldentest.Update(t, "assignment.pb", current)
	stored := goldentest.Read(t, "assignment.pb")
	var sent endpointv3.ClusterLoadAssignment
	if err := proto.Unmarshal(stored, &sent); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(&sent, assignment) {
		t.Errorf("the resource is %v, want %v", assignment, &sent)
	}
	l, err := NewClient("127.0.0.1:1", "engines", "node", nil).parseResponse(&discoveryv3.DiscoveryResponse{
		VersionInfo: "7",
		TypeUrl:     TypeURL,
		Resources:   []*anypb.Any{{TypeUrl: TypeURL, Value: stored}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if want := sampleList().Engines; len(l.Engines) != len(want) || l.Version != "7" {
		t.Fatalf("the recorded resource is read as %+v", l)
	}
	for i, want := range sampleList().Engines {
		got := l.Engines[i]
		if !got.Started.Equal(want.Started) {
			t.Errorf("%s started at %v, want %v", got.Address, got.Started, want.Started)
		}
		if got.Started = want.Started; got != want {
			t.Errorf("engine %+v, want %+v", got, want)
		}
	}
}
