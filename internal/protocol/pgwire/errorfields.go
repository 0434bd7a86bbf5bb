package pgwire

// otherFields lists the types of the fields that AppendFields writes from Fields.Others, in this order.
const otherFields = "PpqWstcdnFLR"

// Fields holds the fields of an ErrorResponse or NoticeResponse ("Error and Notice Message Fields").
type Fields struct {
	Severity, Code, Message, Detail, Hint string
	Others                                map[byte]string // by type; only those in otherFields are written
}

// ParseFields parses the body of an ErrorResponse or NoticeResponse. If it is malformed, f holds the fields
// read before the error.
func ParseFields(b []byte) (f Fields, err error) {
	d := bodyDecoder{b: b}
	for {
		kind := d.byte()
		if kind == 0 {
			break
		}
		v := string(d.text())
		switch kind {
		case 'S':
			if f.Severity == "" {
				f.Severity = v
			}
		case 'V':
			f.Severity = v // not localized, so it takes precedence over S
		case 'C':
			f.Code = v
		case 'M':
			f.Message = v
		case 'D':
			f.Detail = v
		case 'H':
			f.Hint = v
		default:
			if f.Others == nil {
				f.Others = map[byte]string{}
			}
			f.Others[kind] = v
		}
	}
	return f, d.end("ErrorResponse or NoticeResponse")
}

// AppendFields appends an ErrorResponse (kind 'E') or NoticeResponse (kind 'N'). Empty fields are left out.
func AppendFields(out []byte, kind byte, f *Fields) []byte {
	out, at := begin(out, kind)
	add := func(kind byte, v string) {
		if v != "" {
			out = append(append(append(out, kind), v...), 0)
		}
	}
	add('S', f.Severity)
	add('V', f.Severity)
	add('C', f.Code)
	add('M', f.Message)
	add('D', f.Detail)
	add('H', f.Hint)
	for _, kind := range otherFields {
		add(byte(kind), f.Others[byte(kind)])
	}
	return end(append(out, 0), at)
}
