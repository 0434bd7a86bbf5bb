package duplicateresponse

import (
	"strconv"
	"testing"
	"time"

	"cresspass/internal/protocol/nodehttp"
)

func response(status int, body string, headers ...string) *nodehttp.Response {
	resp := &nodehttp.Response{Status: status, Header: map[string]string{}, Body: []byte(body)}
	for i := 0; i+1 < len(headers); i += 2 {
		resp.Header[headers[i]] = headers[i+1]
	}
	return resp
}

// TestSuspect checks that a repeated response on a connection is suspected only if a compute node is unlikely
// to send the same response to two calls.
func TestSuspect(t *testing.T) {
	const quick, slow = 2 * time.Millisecond, 250 * time.Millisecond
	result := response(200, "a\tb\tc\n", "page-count", "1", "x-meter", "inflight:7")
	loaded := response(200, "a\tb\tc\n", "page-count", "1", "x-meter", "inflight:8")
	other := response(200, "a\tb\td\n", "page-count", "1", "x-meter", "inflight:7")
	numbered, next := response(200, "a", "page-no", "1"), response(200, "a", "page-no", "2")
	running := response(202, "")
	progress, rejected := response(202, "", "x-remark", "frac"), response(503, "", "x-shed", "1")
	deleted, failed := response(204, ""), response(500, "")
	for name, c := range map[string]struct {
		first, second *nodehttp.Response
		took          time.Duration
		duplicateSeen bool
		want          bool
	}{
		"result":                    {result, result, quick, false, true},
		"other load report":         {result, loaded, quick, false, false},
		"other result":              {result, other, quick, false, false},
		"numbered page":             {numbered, numbered, quick, false, true},
		"next page":                 {numbered, next, quick, true, false},
		"running, after long poll":  {running, running, slow, false, false},
		"running, too early":        {running, running, quick, false, true},
		"progress, at once":         {progress, progress, quick, true, false},
		"rejected":                  {rejected, rejected, quick, false, false},
		"rejected, after duplicate": {rejected, rejected, quick, true, true},
		"deleted":                   {deleted, deleted, quick, true, false},
		"error, after duplicate":    {failed, failed, quick, true, true},
	} {
		d, history := NewDetector(), &History{}
		if c.duplicateSeen {
			d.RecordDuplicate(0)
		}
		if _, suspect := d.Suspect(time.Second, c.took, history, c.first); suspect {
			t.Errorf("%s: the first response on the connection is suspected", name)
		}
		if _, suspect := d.Suspect(2*time.Second, c.took, history, c.second); suspect != c.want {
			t.Errorf("%s: suspected %v, want %v", name, suspect, c.want)
		}
		if _, suspect := d.Suspect(2*time.Second, c.took, &History{}, c.second); suspect {
			t.Errorf("%s: the response is suspected on another connection", name)
		}
	}
}

// TestConstantResult checks that a result that a compute node repeats is suspected only once, and that after
// a duplicate rejections are suspected for suspicionPeriod.
func TestConstantResult(t *testing.T) {
	d, history := NewDetector(), &History{}
	done, rejected := response(200, "", "page-count", "0"), response(503, "", "x-shed", "1")
	suspected := 0
	for range 20 {
		f, suspect := d.Suspect(0, 0, history, done)
		if suspect {
			suspected++
			d.Recheck(0, f, done)
		}
	}
	if suspected != 1 {
		t.Errorf("a constant result was suspected %d times, want once", suspected)
	}
	suspected = 0
	for range 20 {
		for _, page := range []string{"1", "2", "3"} {
			numbered := response(200, "", "page-no", page)
			if f, suspect := d.Suspect(0, 0, history, numbered); suspect {
				suspected++
				d.Recheck(0, f, numbered)
			}
		}
	}
	if suspected != 3 {
		t.Errorf("three constant pages were suspected %d times, want once each", suspected)
	}
	d.Suspect(0, 0, history, rejected)
	if _, suspect := d.Suspect(0, 0, history, rejected); suspect {
		t.Error("a rejection is suspected although no duplicate was seen")
	}
	d.Recheck(time.Second, 1, rejected)
	if _, suspect := d.Suspect(2*time.Second, 0, history, rejected); !suspect {
		t.Error("a rejection is not suspected after a duplicate")
	}
	if _, suspect := d.Suspect(2*time.Second+suspicionPeriod, 0, history, rejected); suspect {
		t.Error("a rejection is suspected suspicionPeriod after a duplicate")
	}
}

// TestConstantResultAfterDuplicate guards against answering a query with another query's rows: a result that
// a compute node is known to repeat was never suspected again, so a duplicate of it was accepted.
func TestConstantResultAfterDuplicate(t *testing.T) {
	d, history := NewDetector(), &History{}
	empty := response(200, "", "page-count", "0")
	suspect := func(now time.Duration) bool {
		f, suspected := d.Suspect(now, 0, history, empty)
		if suspected {
			d.Recheck(now, f, empty) // the compute node sends the same result again
		}
		return suspected
	}
	suspect(0)
	if !suspect(0) || suspect(0) {
		t.Error("before any duplicate the result is not suspected exactly once")
	}
	d.RecordDuplicate(time.Second)
	if !suspect(2*time.Second) || !suspect(3*time.Second) {
		t.Error("the result is not suspected after a duplicate")
	}
	if suspect(time.Second + suspicionPeriod) {
		t.Error("the result is suspected suspicionPeriod after a duplicate")
	}
	if n := len(d.knownRepeats); n != 1 {
		t.Errorf("the result is remembered %d times, want once", n)
	}
}

// TestCopyAfterLongResult checks that a duplicate of a result's first page is suspected even after all other
// pages of a result of the maximum length.
func TestCopyAfterLongResult(t *testing.T) {
	const pages = 64
	d, history := NewDetector(), &History{}
	first := response(200, "a", "page-count", strconv.Itoa(pages))
	d.Suspect(0, 0, history, first)
	for page := 1; page < pages; page++ {
		d.Suspect(0, 0, history, response(200, "a", "page-no", strconv.Itoa(page)))
	}
	if _, suspect := d.Suspect(time.Second, 0, history, first); !suspect {
		t.Error("the duplicate of the first page is not suspected")
	}
}
