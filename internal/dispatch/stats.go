package dispatch

// Stats counts what a Core has seen since it was made.
type Stats struct {
	// Queries by their end: Arrived = Served + Rejected + Failed + Abandoned + Open.
	Arrived, Served, Rejected, Failed, Abandoned uint64

	Attempts   uint64 // attempts that were started
	Retries    uint64 // of these, those after the first of their query, hedged requests included
	Stopped    uint64 // attempts that were disowned
	NotStarted uint64 // attempts decided on for a query that had ended meanwhile
	Overdue    uint64 // queries that the decision module did not end in time: each is a defect

	Open    int // queries without an end
	Running int // attempts without an outcome
	Timers  int // timers that wait
}

// Stats returns the counts so far.
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
