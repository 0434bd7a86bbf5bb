package cresspass_test

import (
	"fmt"
	"time"

	"cresspass"
)

func Example() {
	gateway, err := cresspass.New(cresspass.Config{
		Gateways: 2, Tick: 5 * time.Millisecond,
		Classes:   []cresspass.Class{{Name: "lookup", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1}},
		KindNames: []string{"small"}, KindCores: []float64{8},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	engines := []cresspass.EngineInfo{{ID: "10.0.0.1:7000", Kind: "small"}}
	now := time.Hour // any clock that only advances
	actions := gateway.Handle(now, []cresspass.Event{
		{Type: cresspass.EngineList, Listing: cresspass.ListCached, Engines: engines},
		{Type: cresspass.QueryTaken, Query: 1, Class: "lookup", TimeLeft: 5 * time.Second},
	}, nil)
	for _, a := range actions {
		if a.Type == cresspass.Send {
			fmt.Println("send", a.Query, "to", a.Engine)
		}
	}
	// Output: send 1 to 10.0.0.1:7000
}
