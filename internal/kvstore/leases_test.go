package kvstore

import (
	"testing"
	"time"

	"brassglade/internal/scheduler"
)

// TestGrantAndRenewLease checks the requests sent, and the result for each status; only a
// response of status 404 means that the lease has expired.
func TestGrantAndRenewLease(t *testing.T) {
	var sent string
	status, response := 200, `{"Permit":12,"LifeMs":5000}`
	c := newTestClient(t, func(method, path, body string) (int, string) {
		sent = method + " " + path + " " + body
		return status, response
	})
	if got, want := c.Grant(scheduler.GrantLease{TTL: 5 * time.Second}), (scheduler.LeaseAnswered{OK: true, LeaseID: 12}); got != want {
		t.Errorf("granted %+v, want %+v", got, want)
	}
	if want := `POST /grants {"LifeMs":5000}`; sent != want {
		t.Errorf("sent %s, want %s", sent, want)
	}
	for name, x := range map[string]struct {
		status int
		want   scheduler.LeaseRenewalAnswered
	}{
		"renewed": {200, scheduler.LeaseRenewalAnswered{OK: true}},
		"expired": {404, scheduler.LeaseRenewalAnswered{Gone: true}},
		"failed":  {503, scheduler.LeaseRenewalAnswered{}},
	} {
		t.Run(name, func(t *testing.T) {
			status = x.status
			if got := c.Renew(scheduler.RenewLease{LeaseID: 12}); got != x.want {
				t.Errorf("got %+v, want %+v", got, x.want)
			}
			if want := "POST /grants/12/renew {}"; sent != want {
				t.Errorf("sent %s, want %s", sent, want)
			}
		})
	}
	status = 503
	if got := c.Grant(scheduler.GrantLease{TTL: time.Second}); got != (scheduler.LeaseAnswered{}) {
		t.Errorf("status 503: granted %+v, want none", got)
	}
}
