package kvstore

import (
	"errors"
	"fmt"

	json "github.com/goccy/go-json"

	"brassglade/internal/scheduler"
)

type leaseRequest struct {
	TTLMilliseconds int64 `json:"LifeMs,omitempty"`
}

type leaseResponse struct {
	LeaseID uint64 `json:"Permit"`
}

// Grant requests a lease with the given TTL. The result isn't OK if the request failed or its
// outcome is unknown; a lease that was created nevertheless then expires unused.
func (c *Client) Grant(e scheduler.GrantLease) scheduler.LeaseAnswered {
	c.limiter.Wait(scheduler.LaneView, 0)
	lease, err := c.grant(leaseRequest{TTLMilliseconds: e.TTL.Milliseconds()})
	if err != nil {
		return scheduler.LeaseAnswered{}
	}
	return scheduler.LeaseAnswered{OK: true, LeaseID: lease.LeaseID}
}

func (c *Client) grant(request leaseRequest) (leaseResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return leaseResponse{}, err
	}
	out, err := c.post(leasesPath, body)
	if err != nil {
		return leaseResponse{}, err
	}
	var lease leaseResponse
	if err := decode(out, &lease); err != nil {
		return leaseResponse{}, err
	}
	return lease, nil
}

// Renew renews a lease. Gone in the result means that the lease has expired and that a new
// one is needed; if neither OK nor Gone is set, the outcome is unknown.
func (c *Client) Renew(e scheduler.RenewLease) scheduler.LeaseRenewalAnswered {
	c.limiter.Wait(scheduler.LaneView, 0)
	_, err := c.post(fmt.Sprintf("%s/%d/renew", leasesPath, e.LeaseID), []byte("{}"))
	return scheduler.LeaseRenewalAnswered{OK: err == nil, Gone: errors.Is(err, errNotFound)}
}
