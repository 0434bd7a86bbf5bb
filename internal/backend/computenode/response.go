package computenode

import (
	"net/http"
	"strconv"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

// Bounds of what a compute node may send.
const (
	maxPages         = 64    // of a result
	maxPageBytes     = 6000  // of a page
	maxResultBytes   = 48000 // of a result
	columns          = 3     // of a row
	maxProgressValue = 1e9
)

// responseKind is what a response to Start or Poll means.
type responseKind int

const (
	kindInvalid  responseKind = iota // no response to what was asked
	kindRunning                      // the query has not ended
	kindPage                         // the page that was asked for
	kindRejected                     // the query never ran
	kindFailed                       // the query may have run
)

// classify reads a response to a call for a page.
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

// validPage reports whether a response is the page that was asked for.
func validPage(resp *nodehttp.Response, page int) bool {
	if len(resp.Body) > maxPageBytes || !validRows(resp.Body) {
		return false
	}
	number, numbered := resp.Header[nodehttp.HeaderPageNumber]
	if page > 0 {
		// Without this check a duplicate of an earlier page would be taken for this one.
		return numbered && number == strconv.Itoa(page)
	}
	count, err := strconv.Atoi(resp.Header[nodehttp.HeaderPageCount])
	return (!numbered || number == "0") && err == nil && count >= 0 && count <= maxPages
}

// validRows reports whether a page holds complete rows with the right number of columns.
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
// is not known. Any other status may be a duplicate of an earlier response: taken for a confirmation, the
// query would count as over while it runs.
func confirmsDelete(resp *nodehttp.Response) bool {
	return resp.Status == http.StatusNoContent || resp.Status == http.StatusInternalServerError
}

// progressTypes are the kinds of progress that compute nodes report.
var progressTypes = map[string]cresspass.NoteType{
	"frac":    cresspass.NoteFractionDone,
	"missing": cresspass.NoteSpilled,
	"parked":  cresspass.NoteBlocked,
}

// parseProgress reads what a response reports of a running query. What can't be read is no progress.
func parseProgress(resp *nodehttp.Response) Progress {
	kind, known := progressTypes[resp.Header[nodehttp.HeaderProgressKind]]
	value, err := strconv.ParseFloat(resp.Header[nodehttp.HeaderProgressValue], 64)
	if !known || err != nil || !(value >= 0 && value <= maxProgressValue) {
		return Progress{}
	}
	return Progress{Type: kind, Value: value}
}
