package cresspass_test

import (
	"fmt"
	"time"

	"cresspass"
)

func Example() {
	gateway, err := cresspass.New(cresspass.Config{
		GatewayCount: 2, BatchInterval: 5 * time.Millisecond,
		Classes: []cresspass.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1},
		},
		KindNames: []string{"small"}, KindCores: []float64{8},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	engines := []cresspass.EngineInfo{{ID: "10.0.0.1:7000", Kind: "small"}}
	now := time.Hour // any clock that only advances
	actions := gateway.Handle(now, []cresspass.Event{
		{Type: cresspass.EngineListReceived, ListType: cresspass.ListCached, Engines: engines},
		{Type: cresspass.QueryArrived, Query: 1, Class: "lookup", RemainingDeadline: 5 * time.Second},
	}, nil)
	for _, a := range actions {
		if a.Type == cresspass.Send {
			fmt.Println("send", a.Query, "to", a.Engine)
		}
	}
	// Output: send 1 to 10.0.0.1:7000
}
