package bytebudget

import (
	"sync"
	"testing"
)

// TestCeilings checks that an account can't use the part of the budget above its ceiling, and that an account
// with a higher ceiling can.
func TestCeilings(t *testing.T) {
	budget := New(100)
	low, high := budget.Account(0.5), budget.Account(1)
	if !low.TryReserve(50) || low.TryReserve(1) {
		t.Error("an account with a ceiling of 50 bytes must get exactly 50")
	}
	if !high.TryReserve(50) || high.TryReserve(1) {
		t.Error("the other account must get the other 50 bytes, and no more")
	}
	low.Release(50)
	if low.TryReserve(1) {
		t.Error("with 50 bytes in use there is no room below a ceiling of 50")
	}
	high.Release(50)
	if used, refused := low.Stats(); used != 0 || refused != 2 || budget.Used() != 0 {
		t.Errorf("%d bytes used, %d in all, %d refused; want 0, 0, 2", used, budget.Used(), refused)
	}
}

// TestReservationHolders checks that a reservation is returned once, by its last holder.
func TestReservationHolders(t *testing.T) {
	budget := New(10)
	account := budget.Account(1)
	account.TryReserve(10)
	reservation := account.Reservation(10)
	var holders sync.WaitGroup
	for range 20 {
		reservation.Retain()
		holders.Go(reservation.Release)
	}
	holders.Wait()
	if budget.Used() != 10 {
		t.Fatalf("%d bytes in use while there is a holder, want 10", budget.Used())
	}
	reservation.Release()
	if budget.Used() != 0 {
		t.Errorf("%d bytes in use without a holder", budget.Used())
	}
	var none *Reservation
	none.Retain()
	none.Release()
}
