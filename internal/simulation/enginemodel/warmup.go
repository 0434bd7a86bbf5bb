package enginemodel

import "time"

// arrival is work that was sent to an engine during its warm-up.
type arrival struct {
	at   time.Duration
	work float64
}

// RampFraction returns the share of its full capacity that the engine has now: 1 once it is warm.
func (m *Model) RampFraction() float64 {
	k := &m.kind
	age := m.now - m.started
	if k.SlowStartDuration <= 0 || age >= k.SlowStartDuration || k.SlowStartFrom <= 0 {
		return 1
	}
	return k.SlowStartFrom + (1-k.SlowStartFrom)*age.Seconds()/k.SlowStartDuration.Seconds()
}

// recordArrivedWork records work that was sent to the engine, rejected or not. An engine that is warming up
// collapses if too much work arrives within the overload window.
func (m *Model) recordArrivedWork(work float64) {
	k := &m.kind
	if k.SlowStartOverloadFactor <= 0 || k.SlowStartWindow <= 0 || m.RampFraction() >= 1 {
		m.recentArrivals = m.recentArrivals[:0]
		return
	}
	m.recentArrivals = append(m.recentArrivals, arrival{m.now, work})
	sum := 0.0
	for i := len(m.recentArrivals) - 1; i >= 0; i-- {
		if m.now-m.recentArrivals[i].at > k.SlowStartWindow {
			m.recentArrivals = m.recentArrivals[i+1:]
			break
		}
		sum += m.recentArrivals[i].work
	}
	if sum > k.SlowStartOverloadFactor*k.Cores*m.RampFraction()*k.SlowStartWindow.Seconds() {
		m.collapsed, m.jobs = true, nil
	}
}
