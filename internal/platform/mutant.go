package platform

// mutant names a guard of this package that the build for the fault soak can leave out, to prove that the
// soak misses it. In any other build mutated is false, and the compiler leaves nothing of it.
type mutant string

// The mutants.
const (
	noLookAtBegin mutant = "no-look-at-begin" // what was decided is written, whatever came since
	// further attempts are counted when they are decided on alone
	noBudgetAtBegin mutant = "no-budget-at-begin"
	noUnreadLook    mutant = "no-unread-look" // connections are closed over unread bytes
	noLinger        mutant = "no-linger"      // connections are closed at once
	noGiveUp        mutant = "no-give-up"     // an attempt counts as over when it is stopped
	wallClock       mutant = "wall-clock"     // starts follow the wall clock of the moment
	secondAnswer    mutant = "second-answer"  // results are written twice
	deafToReload    mutant = "deaf-to-reload" // SIGHUP changes nothing
	brittleLook     mutant = "brittle-look"   // a look that tells nothing ends a connection
	noLastCall      mutant = "no-last-call"   // the listener closes over its backlog
	fullDeadline    mutant = "full-deadline"  // compute nodes are told all of the client's time
	noOrder         mutant = "no-order"       // keys are not read
	noEnding        mutant = "no-ending"      // nothing is answered because the dispatcher ends
	lostCancel      mutant = "lost-cancel"    // cancels are not read
	believeCopies   mutant = "believe-copies" // every answer is taken for that of the last call
	noStalls        mutant = "no-stalls"      // what is read has just come
	noClientLook    mutant = "no-client-look" // a client is there as long as the books know it
)
