package platform

// mutant names a check of this package that the fault soak's build can disable, to prove that the soak
// detects its absence. In any other build mutantEnabled always returns false, and the compiler removes the
// branch.
type mutant string

// The mutants, each with its value of CRESSPASS_MUTANT and the fault that it introduces.
const (
	mutantNoStartRecheck    mutant = "no-look-at-begin"   // attempts are sent without a second check
	mutantNoBudgetRecheck   mutant = "no-budget-at-begin" // the retry budget is checked only at the decision
	mutantNoUnreadCheck     mutant = "no-unread-look"     // connections are closed despite unread bytes
	mutantNoLinger          mutant = "no-linger"          // connections are closed without lingering
	mutantNoCancelWait      mutant = "no-give-up"         // an attempt ends as soon as it is stopped
	mutantWallClock         mutant = "wall-clock"         // start times follow steps of the wall clock
	mutantDuplicateAnswer   mutant = "second-answer"      // results are written twice
	mutantIgnoreReload      mutant = "deaf-to-reload"     // SIGHUP changes nothing
	mutantPeekErrorFatal    mutant = "brittle-look"       // a transient peek error ends the connection
	mutantNoBacklogDrain    mutant = "no-last-call"       // the listener is closed with a backlog
	mutantFullDeadline      mutant = "full-deadline"      // compute nodes get a deadline beyond the client's
	mutantNoOrderingKey     mutant = "no-order"           // ordering keys are ignored
	mutantNoShutdownAnswers mutant = "no-ending"          // shutdown leaves open requests unanswered
	mutantIgnoreCancel      mutant = "lost-cancel"        // cancels are ignored
	mutantAcceptDuplicates  mutant = "believe-copies"     // every response is taken as the last call's
	mutantNoStallDetection  mutant = "no-stalls"          // input is taken as received when it is read
	mutantNoClientCheck     mutant = "no-client-look"     // an open request counts as a waiting client
	mutantNoOverflow        mutant = "no-overflow"        // connections over capacity are closed unread
	mutantAcceptPages       mutant = "believe-pages"      // every numbered page is taken as the last call's
	mutantAcceptFailures    mutant = "believe-failures"   // any query may use a connection after a failure
)
