package httpclient

import "testing"

// TestRefund: a refused request gives its changes back, never more than a burst.
func TestRefund(t *testing.T) {
	b := NewBudget(1e6, 10)
	b.Wait(0, 30)
	if b.changeCredit > -15 {
		t.Fatalf("%g changes left after 30 of 10", b.changeCredit)
	}
	b.Refund(30)
	if b.changeCredit < 9 || b.changeCredit > 10 {
		t.Errorf("%g changes left after the refund", b.changeCredit)
	}
}
