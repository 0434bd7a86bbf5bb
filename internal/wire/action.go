package wire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"cresspass"
)

// WriteAction writes one action of an instance. It writes nothing for an action that the protocol does not
// have.
func WriteAction(w *bufio.Writer, instance int, a *cresspass.Action) {
	switch a.Type {
	case cresspass.Send:
		fmt.Fprintf(w, "dispatch dispatcher=%d op-id=%d node=%s", instance, a.Query, a.Engine)
		if a.Wait != 0 {
			fmt.Fprintf(w, " patience-us=%d", a.Wait.Microseconds())
		}
	case cresspass.SetTimer:
		fmt.Fprintf(w, "defer dispatcher=%d delay-us=%d label=%d", instance, a.Wait.Microseconds(), a.Label)
	case cresspass.FetchEngineList:
		fmt.Fprintf(w, "list_all dispatcher=%d", instance)
	case cresspass.CloseIdleConnections:
		fmt.Fprintf(w, "let_go dispatcher=%d node=%s", instance, a.Engine)
	case cresspass.SendToPeer:
		fmt.Fprintf(w, "share dispatcher=%d recipient=%d msg=%s", instance, a.Peer, hexDigits(a.Data))
	case cresspass.Reject:
		fmt.Fprintf(w, "deny dispatcher=%d op-id=%d", instance, a.Query)
		if a.Wait > 0 {
			fmt.Fprintf(w, " not-before-for-us=%d", a.Wait.Microseconds())
		}
	case cresspass.Fail:
		fmt.Fprintf(w, "finish_error dispatcher=%d op-id=%d", instance, a.Query)
	case cresspass.CheckHealth:
		fmt.Fprintf(w, "touch dispatcher=%d node=%s", instance, a.Engine)
	case cresspass.Cancel:
		fmt.Fprintf(w, "retract dispatcher=%d op-id=%d trial=%d", instance, a.Query, a.Attempt)
	case cresspass.SetResources:
		fmt.Fprintf(w, "allot dispatcher=%d op-id=%d rank=%d workspace-mb=%s", instance, a.Query,
			a.Priority, strconv.FormatFloat(a.MemoryGrantMB, 'f', -1, 64))
	case cresspass.Log:
		fmt.Fprintf(w, "emit dispatcher=%d words=%s", instance, oneLine(a.Text))
	case cresspass.SubscribeEngineList:
		want := 0
		if a.Enabled {
			want = 1
		}
		fmt.Fprintf(w, "follow dispatcher=%d want=%d", instance, want)
	default:
		return
	}
	w.WriteByte('\n')
}

// WriteError writes that an instance's decision code has failed, with the error's text.
func WriteError(w *bufio.Writer, instance int, text string) {
	fmt.Fprintf(w, "give_in dispatcher=%d words=%s\n", instance, oneLine(text))
}

// hexDigits encodes bytes as hex digits, and no bytes as "-".
func hexDigits(data []byte) string {
	if len(data) == 0 {
		return "-"
	}
	return hex.EncodeToString(data)
}

// oneLine replaces all runs of white space, line ends among them, by single spaces.
func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
