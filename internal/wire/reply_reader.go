package wire

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"

	"cresspass"
)

// ReplyReader reads the replies of a process that hosts instances. It is not safe for concurrent use.
type ReplyReader struct{ reader Reader }

// NewReplyReader returns a ReplyReader of in.
func NewReplyReader(in io.Reader) *ReplyReader {
	return &ReplyReader{Reader{in: bufio.NewReaderSize(in, 1<<16)}}
}

// Next appends the actions of one reply, all of one instance, to actions. It returns an error if the
// instance's code has failed, if a line is malformed, if a line is of another instance, or if the input ends
// before the reply does.
func (rr *ReplyReader) Next(instance int, actions []cresspass.Action) ([]cresspass.Action, error) {
	for {
		line, err := rr.reader.nextLine()
		switch {
		case errors.Is(err, io.EOF):
			return actions, rr.reader.errorf("the output ended, expected ready")
		case err != nil:
			return actions, err
		case strings.HasPrefix(line, "emit "): // log text
			continue
		case strings.HasPrefix(line, "give_in "):
			return actions, rr.reader.errorf("%s", line)
		}
		name, p, err := rr.reader.parseLine(line)
		if err != nil || name == "ready" {
			return actions, err
		}
		var a cresspass.Action
		a.Query = cresspass.QueryID(p.unsigned("op-id", false))
		a.Engine = cresspass.EngineID(p.text("node"))
		switch name {
		case "dispatch":
			a.Type, a.Wait = cresspass.Send, p.duration("patience-us", false)
		case "defer":
			a.Type, a.Wait, a.Label = cresspass.SetTimer, p.duration(
				"delay-us",
				true,
			), p.unsigned(
				"label",
				true,
			)
		case "list_all":
			a.Type = cresspass.FetchEngineList
		case "let_go":
			a.Type = cresspass.CloseIdleConnections
		case "share":
			to, err := strconv.Atoi(p.text("recipient"))
			if err != nil {
				p.invalid("recipient", "a peer's number or -1")
			}
			a.Type, a.Peer, a.Data = cresspass.SendToPeer, to, p.bytes("msg")
		case "deny":
			a.Type, a.Wait = cresspass.Reject, p.duration("not-before-for-us", false)
		case "finish_error":
			a.Type = cresspass.Fail
		case "touch":
			a.Type = cresspass.CheckHealth
		case "retract":
			a.Type, a.Attempt = cresspass.Cancel, int(p.unsigned("trial", true))
		case "allot":
			a.Type, a.Priority = cresspass.SetResources, int(p.unsigned("rank", true))
			a.MemoryGrantMB = p.number("workspace-mb")
		case "follow":
			a.Type, a.Enabled = cresspass.SubscribeEngineList, p.flag("want")
		default:
			return actions, rr.reader.errorf("%q is no action", name)
		}
		if owner := p.unsigned("dispatcher", true); p.err == nil && owner != uint64(instance) {
			p.invalid("dispatcher", strconv.Itoa(instance))
		}
		if p.err != nil {
			return actions, p.err
		}
		actions = append(actions, a)
	}
}
