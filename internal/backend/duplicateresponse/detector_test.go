package duplicateresponse

import (
	"strconv"
	"testing"
	"time"

	"cresspass/internal/protocol/nodehttp"
)

func response(status int, body string, headers ...string) *nodehttp.Response {
	a := &nodehttp.Response{Status: status, Header: map[string]string{}, Body: []byte(body)}
	for i := 0; i+1 < len(headers); i += 2 {
		a.Header[headers[i]] = headers[i+1]
	}
	return a
}

// TestSuspect: a repeated response on a connection is suspected where a compute node would hardly repeat
// itself.
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
		"another load":              {result, loaded, quick, false, false},
		"another result":            {result, other, quick, false, false},
		"numbered page":             {numbered, numbered, quick, false, true},
		"next page":                 {numbered, next, quick, true, false},
		"running, in time":          {running, running, slow, false, false},
		"running, too soon":         {running, running, quick, false, true},
		"progress, at once":         {progress, progress, quick, true, false},
		"rejected":                  {rejected, rejected, quick, false, false},
		"rejected, after duplicate": {rejected, rejected, quick, true, true},
		"deleted":                   {deleted, deleted, quick, true, false},
		"error, after duplicate":    {failed, failed, quick, true, true},
	} {
		d, m := NewDetector(), &History{}
		if c.duplicateSeen {
			d.RecordDuplicate(0)
		}
		if _, suspect := d.Suspect(time.Second, c.took, m, c.first); suspect {
			t.Errorf("%s: the first of its kind is suspected", name)
		}
		if _, suspect := d.Suspect(2*time.Second, c.took, m, c.second); suspect != c.want {
			t.Errorf("%s: suspected %v, want %v", name, suspect, c.want)
		}
		if _, suspect := d.Suspect(2*time.Second, c.took, &History{}, c.second); suspect {
			t.Errorf("%s: suspected on another connection", name)
		}
	}
}

// TestConstantResult: a result that a compute node repeats is suspected once; one that turns out to be
// a duplicate has rejections suspected for a while.
func TestConstantResult(t *testing.T) {
	d, m := NewDetector(), &History{}
	done, rejected := response(200, "", "page-count", "0"), response(503, "", "x-shed", "1")
	suspected := 0
	for range 20 {
		f, suspect := d.Suspect(0, 0, m, done)
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
			if f, suspect := d.Suspect(0, 0, m, numbered); suspect {
				suspected++
				d.Recheck(0, f, numbered)
			}
		}
	}
	if suspected != 3 {
		t.Errorf("three constant pages were suspected %d times, want once each", suspected)
	}
	d.Suspect(0, 0, m, rejected)
	if _, suspect := d.Suspect(0, 0, m, rejected); suspect {
		t.Error("a rejection is suspected, and no duplicate was seen")
	}
	d.Recheck(time.Second, 1, rejected)
	if _, suspect := d.Suspect(2*time.Second, 0, m, rejected); !suspect {
		t.Error("a rejection is not suspected after a duplicate")
	}
	if _, suspect := d.Suspect(2*time.Second+suspicionPeriod, 0, m, rejected); suspect {
		t.Error("a rejection is suspected long after a duplicate")
	}
}

// TestConstantResultAfterDuplicate guards against a result that was another's: a result that a compute node
// is known to repeat was never suspected again, so that a copy of it could answer a query with other rows.
func TestConstantResultAfterDuplicate(t *testing.T) {
	d, m := NewDetector(), &History{}
	empty := response(200, "", "page-count", "0")
	suspect := func(now time.Duration) bool {
		f, suspected := d.Suspect(now, 0, m, empty)
		if suspected {
			d.Recheck(now, f, empty) // the compute node repeats itself
		}
		return suspected
	}
	suspect(0)
	if !suspect(0) || suspect(0) {
		t.Error("before any duplicate it is to be suspected once")
	}
	d.RecordDuplicate(time.Second)
	if !suspect(2*time.Second) || !suspect(3*time.Second) {
		t.Error("it is not suspected after a duplicate")
	}
	if suspect(time.Second + suspicionPeriod) {
		t.Error("it is suspected long after a duplicate")
	}
	if n := len(d.knownRepeats); n != 1 {
		t.Errorf("it is remembered %d times", n)
	}
}

// TestCopyAfterLongResult: a copy of a result's first page is suspected also after all its other pages.
func TestCopyAfterLongResult(t *testing.T) {
	const pages = 64
	d, m := NewDetector(), &History{}
	first := response(200, "a", "page-count", strconv.Itoa(pages))
	d.Suspect(0, 0, m, first)
	for page := 1; page < pages; page++ {
		d.Suspect(0, 0, m, response(200, "a", "page-no", strconv.Itoa(page)))
	}
	if _, suspect := d.Suspect(time.Second, 0, m, first); !suspect {
		t.Error("the copy is not suspected")
	}
}
