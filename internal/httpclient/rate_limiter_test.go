package httpclient

import (
	"testing"
	"time"
)

// TestRefund checks that the changes of a refused request are credited again, up to one second's
// worth in total.
func TestRefund(t *testing.T) {
	limiter := NewRateLimiter(1e6, 10)
	limiter.Wait(0, 30)
	if limiter.changeCredit > -15 {
		t.Fatalf("credit of %g changes after a request with 30, at 10 a second", limiter.changeCredit)
	}
	limiter.Refund(30)
	if limiter.changeCredit < 9 || limiter.changeCredit > 10 {
		t.Errorf("credit of %g changes after the refund", limiter.changeCredit)
	}
}

// TestHasCredit checks the credit that a request needs by its lane and number of changes, at ten
// changes a second.
func TestHasCredit(t *testing.T) {
	const view, task = 0, 2
	for name, x := range map[string]struct {
		requestCredit, changeCredit float64
		lane, changes               int
		want                        bool
	}{
		"no credit in requests":         {0.5, 10, view, 0, false},
		"read, changes in debt":         {1, -30, task, 0, true},
		"small task, enough credit":     {1, 2, task, 2, true},
		"small task, too little credit": {1, 1.9, task, 2, false},
		"large task, enough credit":     {1, 6, task, 30, true},
		"large task, too little credit": {1, 5.9, task, 30, false},
		"view, debt at the limit":       {1, -30, view, 1, true},
		"view, debt over the limit":     {1, -30.1, view, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := NewRateLimiter(5, 10)
			limiter.requestCredit, limiter.changeCredit = x.requestCredit, x.changeCredit
			if got := limiter.hasCredit(x.lane, x.changes); got != x.want {
				t.Errorf("hasCredit is %v", got)
			}
		})
	}
}

// TestSlowRateAdmitsRequests guards against a rate below one request a second that admits none: the
// bucket held less than one request, and no controller of such a deployment became ready.
func TestSlowRateAdmitsRequests(t *testing.T) {
	limiter := NewRateLimiter(0.46, 10)
	if !limiter.hasCredit(0, 0) {
		t.Error("the first request is not admitted")
	}
	limiter.requestCredit = 0
	limiter.updatedAt = limiter.updatedAt.Add(-10 * time.Second)
	if limiter.refill(); limiter.requestCredit != 1 {
		t.Errorf("credit of %g requests after 10 s, want 1", limiter.requestCredit)
	}
}
