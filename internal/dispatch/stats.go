package dispatch

// Stats holds a Core's counts since its creation, and its current numbers of open queries, running attempts
// and pending timers.
type Stats struct {
	// Queries by how they ended: Arrived = Served + Rejected + Failed + Abandoned + Open.
	Arrived, Served, Rejected, Failed, Abandoned uint64

	Attempts   uint64 // attempts that were started
	Retries    uint64 // of these, all but the first of each query; includes hedged requests
	Stopped    uint64 // attempts with a StopAttempt output
	NotStarted uint64 // attempts that were decided on after their query had ended
	Overdue    uint64 // queries that the decision module did not end in time: each shows a defect

	Open    int // queries that have not ended
	Running int // attempts without an outcome
	Timers  int // pending timers
}

// Stats returns the current statistics.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Open, s.Timers = 0, c.timers.Len()
	for _, q := range c.queries {
		if !q.ended {
			s.Open++
		}
		s.Running += len(q.running)
	}
	return s
}
