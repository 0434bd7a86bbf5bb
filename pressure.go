package cresspass

import (
	"time"
)

const (
	slownessHalfLife     = 40 * time.Second // of slowness: at full size an engine gives an outcome every 10 s or so
	calmSlowness         = 2.0              // slowness of the fleet that is no pressure, where threads are untold
	targetThreadsPerCore = 1.3              // told threads a core over the fleet that the margin aims at
	marginGain           = 0.5              // part of the pressure's logarithm that the margin takes up a second
	minPressure          = 0.25             // less pressure lets the margin fall no faster
	maxMargin            = 8.0
	overloadedOneIn      = 3 // one engine in this many under pressure is an overload of the fleet
)
