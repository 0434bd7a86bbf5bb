package sse

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"cresspass"
	"cresspass/internal/goldentest"
)

// TestGoldenWatchEvent checks that the recorded watch event, in the format of configurations and of the
// discovery service, is decoded to its values and encoded to the same bytes.
func TestGoldenWatchEvent(t *testing.T) {
	want := WatchEvent{Revision: 12, List: &EndpointList{Version: 3, Full: true, Endpoints: []Endpoint{
		{ID: "n1", Addr: "10.0.0.1:8080", Zone: "z1", Kind: "large", Cell: 2, State: "up", Weight: 4.5,
			StartedMs: 40},
		{ID: "n2", Addr: "10.0.0.2:8080", Zone: "z2", Kind: "small", State: "draining", Weight: 1},
		{ID: "n3", State: "removed"}}}}
	written, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "golden/watchevent.json", written)
	data := goldentest.Read(t, "golden/watchevent.json")
	var got WatchEvent
	if err := json.Unmarshal(data, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, error %v", got, err)
	}
}

// TestGoldenStream checks that the recorded event stream gives the module the same lists as when it was
// recorded.
func TestGoldenStream(t *testing.T) {
	stream := goldentest.Read(t, "golden/stream.txt")
	var p Parser
	var lists []cresspass.Event
	follower := newFollower()
	apply := func(ev Event) {
		list, result, err := follower.Apply(ev)
		if err != nil || result != Applied {
			t.Errorf("event %d: result %v, error %v, want Applied", ev.ID, result, err)
		}
		lists = append(lists, list)
	}
	if err := p.Feed(stream, apply); err != nil {
		t.Fatal(err)
	}
	want := []cresspass.Event{
		{
			Type:     cresspass.EngineListReceived,
			ListType: cresspass.ListComplete,
			Engines: []cresspass.EngineInfo{
				{ID: "n1", State: cresspass.EngineActive, Kind: "large", Zone: "z1", Cell: 2, Size: 4.5,
					StartedAt: 40 * time.Millisecond},
				{ID: "n2", State: cresspass.EngineDraining, Kind: "small", Zone: "z2", Size: 1}},
		},
		{
			Type:     cresspass.EngineListReceived,
			ListType: cresspass.ListIncremental,
			Engines: []cresspass.EngineInfo{
				{ID: "n2", State: cresspass.EngineRemoved}},
		},
		{Type: cresspass.EngineListReceived},
	}
	if !reflect.DeepEqual(lists, want) {
		t.Errorf("\n got %+v\nwant %+v", lists, want)
	}
	if follower.LastRevision() != 14 || follower.Addr("n1") != "10.0.0.1:8080" || follower.Addr("n2") != "" {
		t.Errorf(
			"last revision %d, address of n1 %q, address of n2 %q",
			follower.LastRevision(),
			follower.Addr("n1"),
			follower.Addr("n2"),
		)
	}
}
