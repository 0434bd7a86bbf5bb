package soak

import "testing"

// TestEveryFaultHasInjector: each kind that a plan may draw is injected at the target that it is drawn for.
func TestEveryFaultHasInjector(t *testing.T) {
	for _, kinds := range [][]FaultKind{dispatcherFaults, processFaults, signalSeries, {ClientsCrowd}} {
		for _, kind := range kinds {
			if dispatcherInjectors[kind] == nil {
				t.Errorf("%s: no injector for a dispatcher", kind)
			}
		}
	}
	for _, kind := range nodeFaults {
		if nodeInjectors[kind] == nil {
			t.Errorf("%s: no injector for a compute node", kind)
		}
	}
}

// TestUnwritableFaultFileIsFinding: a run whose faults could not be put in force is not counted as clean.
func TestUnwritableFaultFileIsFinding(t *testing.T) {
	d := &dispatcher{dir: t.TempDir() + "/missing", fleet: &fleet{oracle: newOracle(false)}}
	d.setProcessFault(processFaultConfig{FailingCallShare: failingCallShare})
	found := d.fleet.oracle.judge()
	if len(found) != 1 || found[0].Invariant != harnessFailed {
		t.Errorf("findings %v, want one of %s", found, harnessFailed)
	}
}
