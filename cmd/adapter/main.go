// Command adapter runs gateways behind the simulator's wire on standard input and output. Each
// instance is a Gateway of its own; instances share nothing.
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

// instance is one gateway with the buffers it reuses from batch to batch.
type instance struct {
	gateway *cresspass.Gateway
	events  []cresspass.Event
	actions []cresspass.Action
	fault   string
	queued  bool
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
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

// accept files one message under its instance and returns the instances that have something to do.
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

// answer has the gateway decide and writes its actions.
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

// decide calls the gateway; a panic becomes the instance's fault.
func (it *instance) decide(now time.Duration) {
	defer func() {
		if p := recover(); p != nil {
			it.actions, it.fault = it.actions[:0], fmt.Sprint(p)
		}
	}()
	it.actions = it.gateway.Handle(now, it.events, it.actions[:0])
}
