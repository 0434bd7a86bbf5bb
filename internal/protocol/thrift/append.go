package thrift

// AppendAnswer appends an Answer.
func AppendAnswer(b []byte, method string, seq int32, good bool, body ...[]byte) []byte {
	return Answer{Method: method, Good: good, Body: body}.Append(b, seq)
}

// AppendDeclaredException appends a DispatchException.
func AppendDeclaredException(b []byte, _ string, seq int32, which DispatchExceptionType,
	fields ...[2]string) []byte {
	return DispatchException{Which: which, Fields: fieldsOf(fields)}.Append(b, seq)
}

// AppendDispatch appends a Dispatch.
func AppendDispatch(b []byte, seq int32, fields [][2]string, body []byte) []byte {
	return Dispatch{Fields: fieldsOf(fields), Body: body}.Append(b, seq)
}

// AppendCancel appends a CancelRequest.
func AppendCancel(b []byte, seq, target int32) []byte {
	return CancelRequest{TargetSeq: target}.Append(b, seq)
}

// AppendAlive appends an Alive.
func AppendAlive(b []byte, seq int32) []byte { return Alive{}.Append(b, seq) }

func fieldsOf(pairs [][2]string) Fields {
	var fields Fields
	for _, p := range pairs {
		fields = append(fields, Field{p[0], p[1]})
	}
	return fields
}
