package nodehttp

// The headers of a compute node's responses, in lower case like the names in Response.Header.
const (
	HeaderPageCount     = "page-count" // number of pages in the result
	HeaderPageNumber    = "page-no"    // number of the page in the body, from 0
	HeaderShed          = "x-shed"     // ShedValue if the query was rejected and has not run
	HeaderProgressKind  = "x-remark"   // what HeaderProgressValue measures
	HeaderProgressValue = "figure"
	HeaderLoadReport    = "x-meter"
)

// ShedValue is the value of HeaderShed in the response to a rejected query.
const ShedValue = "1"
