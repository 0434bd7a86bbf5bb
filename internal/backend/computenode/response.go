package computenode

import (
	"net/http"
	"strconv"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

// Limits of what a compute node may send.
const (
	maxPages         = 64    // pages in a result
	maxPageBytes     = 6000  // bytes in a page
	maxResultBytes   = 48000 // bytes in a result
	columns          = 3     // columns in a row
	maxProgressValue = 1e9
)

// responseKind is the meaning of a response to Start or Poll.
type responseKind int

const (
	kindInvalid  responseKind = iota // not a valid response to the call
	kindRunning                      // the query has not ended
	kindPage                         // the requested page
	kindRejected                     // the query never ran
	kindFailed                       // the query may have run
)

// classify returns the meaning of a response to a call that requested a page.
func classify(resp *nodehttp.Response, page int) responseKind {
	switch resp.Status {
	case http.StatusAccepted:
		if page == 0 {
			return kindRunning
		}
	case http.StatusOK:
		if validPage(resp, page) {
			return kindPage
		}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header[nodehttp.HeaderShed] == nodehttp.ShedValue {
			return kindRejected
		}
		return kindFailed
	case http.StatusInternalServerError:
		return kindFailed
	}
	return kindInvalid
}

// validPage reports whether a response is the requested page.
func validPage(resp *nodehttp.Response, page int) bool {
	if len(resp.Body) > maxPageBytes || !validRows(resp.Body) {
		return false
	}
	number, numbered := resp.Header[nodehttp.HeaderPageNumber]
	if page > 0 {
		// Without this check a duplicate of an earlier page would be accepted as this one.
		return numbered && number == strconv.Itoa(page)
	}
	count, err := strconv.Atoi(resp.Header[nodehttp.HeaderPageCount])
	return (!numbered || number == "0") && err == nil && count >= 0 && count <= maxPages
}

// validRows reports whether a page consists of complete rows with the right number of columns.
func validRows(page []byte) bool {
	tabs := 0
	for _, c := range page {
		switch c {
		case '\t':
			tabs++
		case '\n':
			if tabs != columns-1 {
				return false
			}
			tabs = 0
		}
	}
	return tabs == 0 && (len(page) == 0 || page[len(page)-1] == '\n')
}

// confirmsQuery reports whether a response to Start or Poll shows that the compute node has the query.
func confirmsQuery(resp *nodehttp.Response, page int) bool {
	kind := classify(resp, page)
	return kind == kindRunning || kind == kindPage
}

// confirmsDelete reports whether a response to a Delete shows that the query is over: it was cancelled, or
// the compute node does not know it. Any other status may be a duplicate of an earlier response; if it
// counted as a confirmation, the query would count as over while it still runs.
func confirmsDelete(resp *nodehttp.Response) bool {
	return resp.Status == http.StatusNoContent || resp.Status == http.StatusInternalServerError
}

// progressTypes maps the kinds of progress that compute nodes report to the module's.
var progressTypes = map[string]cresspass.NoteType{
	"frac":    cresspass.NoteFractionDone,
	"missing": cresspass.NoteSpilled,
	"parked":  cresspass.NoteBlocked,
}

// parseProgress returns the progress that a response reports, or the zero Progress if none can be read.
func parseProgress(resp *nodehttp.Response) Progress {
	kind, known := progressTypes[resp.Header[nodehttp.HeaderProgressKind]]
	value, err := strconv.ParseFloat(resp.Header[nodehttp.HeaderProgressValue], 64)
	if !known || err != nil || !(value >= 0 && value <= maxProgressValue) {
		return Progress{}
	}
	return Progress{Type: kind, Value: value}
}
