package platform

// mutant names a check of this package that the build for the fault soak can leave out, to prove that the
// soak notices its absence. In any other build mutantEnabled is always false, and the compiler drops the
// branch.
type mutant string

// The mutants, by the values of CRESSPASS_MUTANT.
const (
	mutantNoStartRecheck    mutant = "no-look-at-begin"   // attempts are sent without a second check
	mutantNoBudgetRecheck   mutant = "no-budget-at-begin" // retries are counted only when they are decided
	mutantNoUnreadCheck     mutant = "no-unread-look"     // connections are closed over unread bytes
	mutantNoLinger          mutant = "no-linger"          // connections are closed at once
	mutantNoCancelWait      mutant = "no-give-up"         // an attempt has ended as soon as it is stopped
	mutantWallClock         mutant = "wall-clock"         // start times follow the present wall clock
	mutantDuplicateAnswer   mutant = "second-answer"      // results are written twice
	mutantIgnoreReload      mutant = "deaf-to-reload"     // SIGHUP changes nothing
	mutantPeekErrorFatal    mutant = "brittle-look"       // a peek that fails ends the connection
	mutantNoBacklogDrain    mutant = "no-last-call"       // the listener is closed over its backlog
	mutantFullDeadline      mutant = "full-deadline"      // compute nodes get a deadline beyond the client's
	mutantNoOrderingKey     mutant = "no-order"           // ordering keys are ignored
	mutantNoShutdownAnswers mutant = "no-ending"          // shutdown answers no open request
	mutantIgnoreCancel      mutant = "lost-cancel"        // cancels are ignored
	mutantAcceptDuplicates  mutant = "believe-copies"     // every response counts as that of the last call
	mutantNoStallDetection  mutant = "no-stalls"          // what is read counts as just received
	mutantNoClientCheck     mutant = "no-client-look"     // a client waits as long as it is registered
	mutantNoOverflow        mutant = "no-overflow"        // connections beyond the capacity are closed unread
	mutantAcceptPages       mutant = "believe-pages"      // numbered pages count as that of the last call
	mutantAcceptFailures    mutant = "believe-failures"   // any query may use a connection after a failure
)
