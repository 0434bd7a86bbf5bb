package config

import "testing"

// Guards against an override that opens a listener to other machines, or that connects to a discovery service
// on another machine.
func TestOverridesAreLoopbackAddresses(t *testing.T) {
	const elsewhere = "192.168.0.1:5"
	for name, overrides := range map[string]Overrides{
		"listen":    {Listen: elsewhere},
		"flight":    {FlightListen: elsewhere},
		"health":    {HealthAddr: elsewhere},
		"discovery": {DiscoveryAddr: elsewhere},
	} {
		cfg, err := Parse("f.hcl", []byte(validSettings))
		if err != nil {
			t.Fatal(err)
		}
		overrides.Ordinal = -1
		if overrides.Apply(cfg) == nil {
			t.Errorf("%s: %s is accepted", name, elsewhere)
		}
	}
}
