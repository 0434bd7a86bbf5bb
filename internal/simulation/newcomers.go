package simulation

import "time"

// Arm is one way of a comparison.
type Arm struct {
	Name  string
	Talk  Talk
	Liars int
}

// Comparison is what clients of dispatchers that came back got, by arm, seed and time.
type Comparison struct {
	Arms    []Arm
	Windows []time.Duration
	Got     [][][]Since // by arm, seed and window
}

// CompareNewcomers plays the day on which half return, for each arm on the same seeds.
func CompareNewcomers(arms []Arm, seeds int, told float64) (*Comparison, error) {
	out := &Comparison{Arms: arms, Windows: []time.Duration{10 * time.Second, 30 * time.Second,
		60 * time.Second}}
	for _, arm := range arms {
		got, err := Parallel(seeds, func(i int) ([]Since, error) {
			cfg := HalfReturn(uint64(i+1), arm.Talk, arm.Liars, told)
			f, err := NewFleet(cfg)
			if err != nil {
				return nil, err
			}
			r := f.Run()
			back := cfg.Returns[0].At + cfg.Returns[0].After
			var all []Since
			for _, w := range out.Windows {
				all = append(all, r.Between(back, back+w, cfg.Returns[0].Dispatchers))
			}
			return all, nil
		})
		if err != nil {
			return nil, err
		}
		out.Got = append(out.Got, got)
	}
	return out, nil
}

// Figures are those compared, in their order.
var Figures = []struct {
	Name string
	Of   func(s *Since) float64
}{
	{"served in time", func(s *Since) float64 { return s.Served * (1 - s.Late) }},
	{"refused", func(s *Since) float64 { return s.Refused }},
	{"failed", func(s *Since) float64 { return s.Failed }},
	{"engines over two threads a core", func(s *Since) float64 { return s.Overload }},
}

// Samples are a figure's, one for each seed.
func (n *Comparison) Samples(arm, window, figure int) (out []float64) {
	for i := range n.Got[arm] {
		out = append(out, Figures[figure].Of(&n.Got[arm][i][window]))
	}
	return out
}
