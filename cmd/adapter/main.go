// Command adapter runs gateways for a simulator that speaks the text protocol of package wire on standard
// input and output. Each instance is a Gateway of its own; instances share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"cresspass"
	"cresspass/internal/wire"
)

// instance is one gateway with the buffers that are reused from batch to batch.
type instance struct {
	gateway *cresspass.Gateway
	events  []cresspass.Event
	actions []cresspass.Action
	failure string // error of creating the gateway, or the value of its panic; "": neither
	queued  bool   // already in the pending list of the current batch
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run reads batches and writes the instances' replies until the input ends.
func run(in io.Reader, out io.Writer) error {
	r := wire.NewReader(in)
	w := bufio.NewWriterSize(out, 1<<20)
	instances := map[int]*instance{}
	var pending []int
	for {
		batch, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		pending = pending[:0]
		for i := range batch.Messages {
			pending = enqueue(instances, pending, &batch.Messages[i])
		}
		for _, id := range pending {
			if inst := instances[id]; inst != nil {
				inst.process(w, id, batch.Now)
			}
		}
		w.WriteString("ready\n")
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// enqueue adds one message to its instance, and the instance to pending, the list of the instances to run in
// this batch. It returns the list. Events for an instance that was never started are ignored.
func enqueue(instances map[int]*instance, pending []int, m *wire.Message) []int {
	inst := instances[m.Instance]
	switch m.Type {
	case wire.StartInstance:
		queued := inst != nil && inst.queued
		inst = &instance{queued: queued}
		g, err := cresspass.New(m.Config)
		if err != nil {
			inst.failure = err.Error()
		}
		inst.gateway = g
		instances[m.Instance] = inst
	case wire.StopInstance:
		if inst != nil {
			inst.gateway, inst.events, inst.failure = nil, inst.events[:0], ""
		}
		return pending
	case wire.EventMessage:
		if inst == nil {
			return pending
		}
		inst.events = append(inst.events, m.Event)
	}
	if !inst.queued {
		inst.queued = true
		pending = append(pending, m.Instance)
	}
	return pending
}

// process passes the batch's events to the gateway and writes the gateway's actions, and the error of a
// gateway that has failed. After an error the instance has no gateway until the instance is started again.
func (inst *instance) process(w *bufio.Writer, id int, now time.Duration) {
	inst.queued = false
	if inst.gateway != nil {
		inst.handleEvents(now)
		for i := range inst.actions {
			wire.WriteAction(w, id, &inst.actions[i])
		}
	}
	if inst.failure != "" {
		wire.WriteError(w, id, inst.failure)
		inst.gateway, inst.failure = nil, ""
	}
	inst.events = inst.events[:0]
}

// handleEvents passes the events to the gateway; a panic becomes the instance's failure.
func (inst *instance) handleEvents(now time.Duration) {
	defer func() {
		if p := recover(); p != nil {
			inst.actions, inst.failure = inst.actions[:0], fmt.Sprint(p)
		}
	}()
	inst.actions = inst.gateway.Handle(now, inst.events, inst.actions[:0])
}
