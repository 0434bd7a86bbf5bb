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

// instance is one gateway and the buffers that it reuses from batch to batch.
type instance struct {
	gateway *cresspass.Gateway
	events  []cresspass.Event
	actions []cresspass.Action
	fault   string // why the gateway was not created, or has panicked; "": neither
	queued  bool   // already listed for the current batch
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
	var order []int
	for {
		batch, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		order = order[:0]
		for i := range batch.Messages {
			order = accept(instances, order, &batch.Messages[i])
		}
		for _, id := range order {
			if it := instances[id]; it != nil {
				it.answer(w, id, batch.Now)
			}
		}
		w.WriteString("ready\n")
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// accept adds one message to its instance, and the instance to order, the list of those to run in this batch.
// It returns the list. Events for an instance that was never started are ignored.
func accept(instances map[int]*instance, order []int, m *wire.Message) []int {
	it := instances[m.Instance]
	switch m.Type {
	case wire.StartInstance:
		queued := it != nil && it.queued
		it = &instance{queued: queued}
		g, err := cresspass.New(m.Config)
		if err != nil {
			it.fault = err.Error()
		}
		it.gateway = g
		instances[m.Instance] = it
	case wire.StopInstance:
		if it != nil {
			it.gateway, it.events, it.fault = nil, it.events[:0], ""
		}
		return order
	case wire.EventMessage:
		if it == nil {
			return order
		}
		it.events = append(it.events, m.Event)
	}
	if !it.queued {
		it.queued = true
		order = append(order, m.Instance)
	}
	return order
}

// answer passes the batch's events to the gateway and writes its actions, or the error of a gateway that has
// failed. After an error the instance has no gateway until it is started again.
func (it *instance) answer(w *bufio.Writer, id int, now time.Duration) {
	it.queued = false
	if it.gateway != nil {
		it.decide(now)
		for i := range it.actions {
			wire.WriteAction(w, id, &it.actions[i])
		}
	}
	if it.fault != "" {
		wire.WriteError(w, id, it.fault)
		it.gateway, it.fault = nil, ""
	}
	it.events = it.events[:0]
}

// decide passes the events to the gateway; a panic becomes the instance's fault.
func (it *instance) decide(now time.Duration) {
	defer func() {
		if p := recover(); p != nil {
			it.actions, it.fault = it.actions[:0], fmt.Sprint(p)
		}
	}()
	it.actions = it.gateway.Handle(now, it.events, it.actions[:0])
}
