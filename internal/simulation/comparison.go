package simulation

import "time"

// Arm is one of the variants that a Comparison compares.
type Arm struct {
	Name      string
	Gossip    GossipMode
	Byzantine int // as Config.Byzantine
}

// Comparison holds how clients of restarted dispatchers were served, by arm, seed and window of time.
type Comparison struct {
	Arms      []Arm
	Windows   []time.Duration     // lengths, from the return of the dispatchers on
	Summaries [][][]WindowSummary // by arm, seed and window
}

// CompareNewcomers simulates HalfRestart for each arm, all with the seeds 1 to seeds.
func CompareNewcomers(arms []Arm, seeds int, costFactor float64) (*Comparison, error) {
	out := &Comparison{Arms: arms, Windows: []time.Duration{10 * time.Second, 30 * time.Second,
		60 * time.Second}}
	for _, arm := range arms {
		got, err := Parallel(seeds, func(i int) ([]WindowSummary, error) {
			cfg := HalfRestart(uint64(i+1), arm.Gossip, arm.Byzantine, costFactor)
			f, err := NewFleet(cfg)
			if err != nil {
				return nil, err
			}
			r, restart := f.Run(), cfg.Restarts[0]
			back := restart.At + restart.After
			var summaries []WindowSummary
			for _, w := range out.Windows {
				summaries = append(summaries, r.Between(back, back+w, restart.Dispatchers))
			}
			return summaries, nil
		})
		if err != nil {
			return nil, err
		}
		out.Summaries = append(out.Summaries, got)
	}
	return out, nil
}

// Figures are the metrics that a Comparison compares, in the order of their indices.
var Figures = []struct {
	Name string
	Of   func(s *WindowSummary) float64
}{
	{"served in time", func(s *WindowSummary) float64 { return s.Served * (1 - s.Late) }},
	{"refused", func(s *WindowSummary) float64 { return s.Rejected }},
	{"failed", func(s *WindowSummary) float64 { return s.Failed }},
	{"engines over two threads a core", func(s *WindowSummary) float64 { return s.Overload }},
}

// Samples returns the values of a figure for an arm and a window, one for each seed.
func (c *Comparison) Samples(arm, window, figure int) (out []float64) {
	for i := range c.Summaries[arm] {
		out = append(out, Figures[figure].Of(&c.Summaries[arm][i][window]))
	}
	return out
}
