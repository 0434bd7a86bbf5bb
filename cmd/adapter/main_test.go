package main

import (
	"strings"
	"testing"
)

// setup holds the lines that start an instance and send it a list of one engine.
const setup = "provision dispatcher=1 rng-seed=5 tick-us=5000 peers-total=1 shapes=s specifics.cpu-of-kind=8 " +
	"classes.count=1 classes.0.name=x classes.0.semantics=safe classes.0.aim-us=1000000 classes.0.deadline-us=5000000\n" +
	"roster sheet=0 elements=1\nentry state=on node=a:1 flavor=s area=z\nsync dispatcher=1 scope=cached sheet=0\n"

func TestSession(t *testing.T) {
	var out strings.Builder
	in := "clock now-us=1000\n" + setup +
		"ask dispatcher=1 op-id=7 budget-us=5000000 category=x\neob\nclock now-us=2000\neob\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "dispatch dispatcher=1 op-id=7 node=a:1\n") ||
		strings.Count(out.String(), "ready\n") != 2 {
		t.Errorf("got %q", out.String())
	}
}

func TestBadSettingsReachTheWire(t *testing.T) {
	var out strings.Builder
	in := "clock now-us=1000\nprovision dispatcher=4 rng-seed=5\neob\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if want := "give_in dispatcher=4 words=cresspass: Classes: none given\nready\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

func TestKilledInstanceIsForgotten(t *testing.T) {
	var out strings.Builder
	in := "clock now-us=1000\n" + setup + "eob\nclock now-us=2000\nretire dispatcher=1\neob\n" +
		"clock now-us=3000\nask dispatcher=1 op-id=7 budget-us=5000000 category=x\neob\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "op-id=7") {
		t.Errorf("a killed instance acted: %q", out.String())
	}
}
