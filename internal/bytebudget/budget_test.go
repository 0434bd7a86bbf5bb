package bytebudget

import (
	"sync"
	"testing"
)

// TestLimit checks that reservations succeed up to the limit, and that a refused one changes nothing.
func TestLimit(t *testing.T) {
	budget := New(100)
	if !budget.TryReserve(60) || budget.TryReserve(41) || !budget.TryReserve(40) || budget.TryReserve(1) {
		t.Error("reservations of 60 and 40 bytes fit into 100, and no others beside them")
	}
	if !budget.TryReserve(0) {
		t.Error("a reservation of no bytes must succeed in a full budget")
	}
	if budget.Reserve(5); budget.TryReserve(0) {
		t.Error("over its limit, a budget has no room")
	}
	budget.Release(5)
	budget.Release(60)
	if used, refused := budget.Stats(); used != 40 || refused != 3 {
		t.Errorf("%d bytes used, %d reservations refused; want 40 and 3", used, refused)
	}
}

// TestReservationHolders checks that a reservation is returned once, by its last holder.
func TestReservationHolders(t *testing.T) {
	budget := New(10)
	budget.TryReserve(10)
	reservation := budget.Reservation(10)
	var holders sync.WaitGroup
	for range 20 {
		reservation.Retain()
		holders.Go(reservation.Release)
	}
	holders.Wait()
	if used, _ := budget.Stats(); used != 10 {
		t.Fatalf("%d bytes in use while there is a holder, want 10", used)
	}
	reservation.Release()
	if used, _ := budget.Stats(); used != 0 {
		t.Errorf("%d bytes in use without a holder", used)
	}
	var none *Reservation
	none.Retain()
	none.Release()
}
