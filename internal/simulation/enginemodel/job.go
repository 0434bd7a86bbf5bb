package enginemodel

import "time"

// Job is a query as the engine sees it.
type Job struct {
	Work     float64 // thread seconds
	Threads  float64 // threads that it can use
	NeedMB   float64 // memory that it needs
	GrantMB  float64 // memory grant; 0: the engine gives what the job needs
	Priority int     // 0 to 3
	DataSet  string  // data set that it reads or loads; "": none
	IsLoad   bool    // it writes its data set: other jobs of the set wait until it ends
}

// Running is a job that runs or is blocked in the engine.
type Running struct {
	Job
	StartedAt     time.Duration
	totalWork     float64 // work with spills and cache savings, in thread seconds
	remainingWork float64 // thread seconds
	spillMB       float64
	blocked       bool
}

// Progress returns the completed share of the job's work.
func (r *Running) Progress() float64 { return 1 - r.remainingWork/r.totalWork }

// SpillMB returns the memory that the job needs and was not granted, in MB.
func (r *Running) SpillMB() float64 { return r.spillMB }

// IsBlocked reports whether the job is blocked by a load of its data set.
func (r *Running) IsBlocked() bool { return r.blocked }
