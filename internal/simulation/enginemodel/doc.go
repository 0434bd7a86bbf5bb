// Package enginemodel models an analytic engine: queries share its cores by priority, memory grants cause
// spills and paging, recently used data sets are cached, a load blocks the readers of its tables, and an
// engine that is still warming up collapses under too much work. The caller passes the time to each method
// that needs it. The package does no I/O, starts no goroutines and draws no random numbers.
package enginemodel
