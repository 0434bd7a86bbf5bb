package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/simulation/enginemodel"
)

const (
	defaultWorkMS   = 2
	defaultRows     = 1
	defaultRowBytes = 20
	repeatWork      = 0.001 // thread seconds that it takes to recognize a repeated load
)

// SQLSTATE codes of the notices that report progress.
const (
	noticeProgress = "CP001"
	noticeSpill    = "CP002"
	noticeWaiting  = "CP003"
)

// waitingForMemory is the value of a noticeWaiting. Despite its name, 2 means that the query
// waits for a bulk load (cresspass.NoteBlocked).
const waitingForMemory = 2

// execution holds the state of one execution of a statement.
type execution struct {
	engine   *Engine
	text, id string
	tags     map[string]string
	describe bool // a RowDescription is sent before the rows
	rows     int
	job      enginemodel.Job
	running  *enginemodel.Running
	done     chan Outcome // receives the job's outcome
	repeat   bool         // it repeats a load within the deduplication window
	run      *Run         // nil: the run is not recorded
}

func (c *engineConn) newExecution(text, firstParameter string, describe bool) *execution {
	tags := sqlscan.Tags(text)
	id := statementID(tags, firstParameter)
	tags = addParameterTags(tags, firstParameter)
	return &execution{
		engine:   c.engine,
		text:     text,
		id:       id,
		tags:     tags,
		describe: describe,
		rows:     int(numberTag(tags, "rows", defaultRows)),
		job: enginemodel.Job{
			Work:     numberTag(tags, "work_ms", defaultWorkMS) / 1000,
			Threads:  numberTag(tags, "threads", 1),
			NeedMB:   numberTag(tags, "need_mb", 0),
			GrantMB:  c.grantMB,
			Priority: c.priority,
			DataSet:  tags["tables"],
			IsLoad:   tags["loads"] != "",
		},
		done: make(chan Outcome, 1),
		run: &Run{ID: id, Class: tags["class"], Key: tags["key"], Text: text, Begun: time.Now(),
			GrantMB: c.grantMB, Priority: c.priority},
	}
}

// recordOutcome records the outcome of the run, and now as its end.
func (x *execution) recordOutcome(outcome Outcome) {
	if x.run == nil {
		return
	}
	x.engine.mu.Lock()
	x.run.Ended, x.run.Outcome = time.Now(), outcome
	x.engine.mu.Unlock()
}

// addParameterTags adds the tags of a first parameter, such as "id;work_ms=20;rows=3", to those of the
// comment.
func addParameterTags(tags map[string]string, firstParameter string) map[string]string {
	for _, pair := range strings.Split(firstParameter, ";") {
		if name, value, ok := strings.Cut(pair, "="); ok {
			if tags == nil {
				tags = map[string]string{}
			}
			tags[name] = value
		}
	}
	return tags
}

// statementID returns the tag id or, where there is none, the first parameter up to its first ";".
func statementID(tags map[string]string, firstParameter string) string {
	if id := tags["id"]; id != "" {
		return id
	}
	id, _, _ := strings.Cut(firstParameter, ";")
	return id
}

func numberTag(tags map[string]string, name string, defaultValue float64) float64 {
	if v, err := strconv.ParseFloat(tags[name], 64); err == nil {
		return v
	}
	return defaultValue
}

// runStatement runs a statement through the engine model and answers it. The tags in its comment or its first
// parameter describe what it needs: work_ms, threads, need_mb, rows, row_bytes, tables, loads. An error ends
// the connection.
func (c *engineConn) runStatement(text, firstParameter string, describe bool) error {
	x := c.newExecution(text, firstParameter, describe)
	faults := c.engine.currentFaults()
	c.dropStaleCancel()
	admitted, err := c.engine.startJob(x, faults)
	if err != nil {
		return err
	}
	switch admitted {
	case jobRejected:
		x.recordOutcome(OutcomeFull)
		c.fail(codeTooManyConnections, "the engine takes no more queries")
		return nil
	case jobNotModelled:
		return c.sendAnswer(x, OutcomeDone)
	}
	if c.engine.chance(faults.ErrorShare) {
		c.engine.removeJob(x.running)
		x.recordOutcome(OutcomeFailed)
		c.fail(codeSystemError, "the engine failed")
		return nil
	}
	outcome, err := c.awaitJob(x.running, x.done)
	if err != nil {
		x.recordOutcome(OutcomeDied)
		return err
	}
	if outcome == OutcomeCancelled {
		x.recordOutcome(outcome)
		c.fail(codeQueryCanceled, messageCanceled)
		return nil
	}
	if c.engine.chance(faults.LoseShare) {
		x.recordOutcome(OutcomeLost)
		<-c.cancel // no answer is sent; the connection stays open until a cancel request
		c.fail(codeQueryCanceled, messageCanceled)
		return nil
	}
	if x.repeat {
		outcome = OutcomeDropped
	}
	return c.sendAnswer(x, outcome)
}

// jobAdmission is what the engine does with a job.
type jobAdmission int

const (
	jobAdmitted    jobAdmission = iota
	jobRejected                 // the engine is full
	jobNotModelled              // it has no work and is answered at once
)

// startJob starts a job in the model. It returns an error where the engine is down or falls over from the
// job.
func (e *Engine) startJob(x *execution, faults Faults) (jobAdmission, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return jobRejected, errConnectionEnded
	}
	if x.job.Work > 0 {
		e.runs = append(e.runs, x.run)
	}
	x.repeat = x.job.IsLoad && !faults.Full && !e.cfg.Group.recordFirst(x.id, x.run.Begun, e.cfg.Window)
	if x.repeat {
		x.job.Work = repeatWork
	}
	if faults.Full {
		return jobRejected, nil
	}
	if x.job.Work == 0 && !faults.Hang { // a statement without work measures only the path to the engine
		x.run = nil
		return jobNotModelled, nil
	}
	e.notifyWaiters(e.model.Advance(e.now()))
	x.running = e.model.Start(e.now(), x.job)
	if x.running != nil {
		e.waiters[x.running] = x.done
	}
	if e.model.Collapsed() {
		e.crash()
		return jobRejected, errConnectionEnded
	}
	e.scheduleNext()
	if x.running == nil {
		return jobRejected, nil
	}
	return jobAdmitted, nil
}

// removeJob removes a job from the model before its end.
func (e *Engine) removeJob(r *enginemodel.Running) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiters, r)
	e.notifyWaiters(e.model.Advance(e.now()))
	e.model.End(e.now(), r)
	e.scheduleNext()
}

// awaitJob waits for a job's end or a cancel request, and sends notices of progress meanwhile. An error ends
// the connection.
func (c *engineConn) awaitJob(r *enginemodel.Running, done <-chan Outcome) (Outcome, error) {
	var progress <-chan time.Time
	if every := c.engine.cfg.ProgressEvery; every > 0 {
		t := time.NewTicker(every)
		defer t.Stop()
		progress = t.C
	}
	for {
		select {
		case outcome := <-done:
			if outcome == OutcomeDied {
				return outcome, errConnectionEnded
			}
			return outcome, nil
		case <-c.cancel:
			c.engine.removeJob(r)
			return OutcomeCancelled, nil
		case <-progress:
			if c.engine.currentFaults().Hang {
				continue // an engine that hangs sends nothing
			}
			if c.sendProgress(r) != nil {
				c.engine.removeJob(r)
				return OutcomeDied, errConnectionEnded
			}
		}
	}
}

func (c *engineConn) sendProgress(r *enginemodel.Running) error {
	c.engine.mu.Lock()
	c.engine.notifyWaiters(c.engine.model.Advance(c.engine.now()))
	share, spilledMB, waits := r.Progress(), r.SpillMB(), r.IsBlocked()
	c.engine.mu.Unlock()
	c.sendNotice(noticeProgress, share)
	if spilledMB > 0 {
		c.sendNotice(noticeSpill, spilledMB)
	}
	if waits {
		c.sendNotice(noticeWaiting, waitingForMemory)
	}
	return c.backend.Flush()
}

func (c *engineConn) sendNotice(code string, value float64) {
	c.backend.Send(&pgproto3.NoticeResponse{Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: code,
		Message: strconv.FormatFloat(value, 'f', 3, 64)})
}
