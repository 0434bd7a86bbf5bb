package nodehttp

// The headers of a compute node's responses, in lower case as in Response.Header.
const (
	HeaderPageCount     = "page-count" // pages of the result
	HeaderPageNumber    = "page-no"    // number of the page in the body, from 0
	HeaderShed          = "x-shed"     // ShedValue: the query was rejected and has not run
	HeaderProgressKind  = "x-remark"   // what HeaderProgressValue measures
	HeaderProgressValue = "figure"
	HeaderLoadReport    = "x-meter"
)

// ShedValue is the value of HeaderShed on a rejected query.
const ShedValue = "1"
