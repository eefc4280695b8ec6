package httpclient

import "testing"

// TestRefund: a refused request gives its changes back, never more than a burst.
func TestRefund(t *testing.T) {
	b := NewRateLimiter(1e6, 10)
	b.Wait(0, 30)
	if b.changeCredit > -15 {
		t.Fatalf("%g changes left after 30 of 10", b.changeCredit)
	}
	b.Refund(30)
	if b.changeCredit < 9 || b.changeCredit > 10 {
		t.Errorf("%g changes left after the refund", b.changeCredit)
	}
}

// TestHasCredit: what a request needs, by its lane and size, at ten changes a second.
func TestHasCredit(t *testing.T) {
	const view, task = 0, 2
	for name, x := range map[string]struct {
		requestCredit, changeCredit float64
		lane, changes               int
		want                        bool
	}{
		"no request left":            {0.5, 10, view, 0, false},
		"read, changes in debt":      {1, -30, task, 0, true},
		"small task":                 {1, 2, task, 2, true},
		"small task, too little":     {1, 1.9, task, 2, false},
		"large task, some credit":    {1, 6, task, 30, true},
		"large task, too little":     {1, 5.9, task, 30, false},
		"view ahead of tasks":        {1, -30, view, 1, true},
		"view, debt as large as may": {1, -30.1, view, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewRateLimiter(5, 10)
			b.requestCredit, b.changeCredit = x.requestCredit, x.changeCredit
			if got := b.hasCredit(x.lane, x.changes); got != x.want {
				t.Errorf("may go: %v", got)
			}
		})
	}
}
