package soak

import "testing"

// TestEveryFaultHasInjector checks that each kind of fault that a plan may draw has an injector for its
// target.
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

// TestUnwritableFaultFileIsFinding checks that a run is not counted as clean if a fault could not be injected
// because its file could not be written.
func TestUnwritableFaultFileIsFinding(t *testing.T) {
	d := &dispatcher{dir: t.TempDir() + "/missing", fleet: &fleet{oracle: newOracle(false)}}
	d.setProcessFault(processFaultConfig{FailingCallShare: failingCallShare})
	found := d.fleet.oracle.judge()
	if len(found) != 1 || found[0].Invariant != harnessFailed {
		t.Errorf("got findings %v, want one of %s", found, harnessFailed)
	}
}
