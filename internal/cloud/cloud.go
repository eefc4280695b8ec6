// Package cloud is the client of the cloud's interface.
package cloud

import (
	"net/url"

	json "github.com/goccy/go-json"

	"brassglade/internal/httpclient"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

type build struct {
	Name       string   `json:"Name"`
	Cores      float64  `json:"Cores"`
	Cards      float64  `json:"Cards"`
	MemGb      float64  `json:"MemGb"`
	CacheGb    float64  `json:"CacheGb"`
	PullGbPerS float64  `json:"PullGbPerS"`
	Hourly     float64  `json:"Hourly"`
	SpotPrice  float64  `json:"SpotPrice"`
	BootS      float64  `json:"BootS"`
	Yards      []string `json:"Yards"`
}

type bracket struct {
	NameID  string  `json:"NameId"`
	Address string  `json:"Address"`
	Build   string  `json:"Build"`
	Yard    string  `json:"Yard"`
	Loaners bool    `json:"Loaners"`
	Status  string  `json:"Status"`
	HeldS   float64 `json:"HeldS"`
}

// Client of the cloud.
type Client struct {
	w *httpclient.Client
	b *httpclient.Budget
}

// New returns a client that spends the given rate.
func New(addr string, rps float64) *Client {
	return &Client{httpclient.New(addr), httpclient.NewBudget(rps, 1)}
}

// Milli turns an amount into thousandths.
func Milli(x float64) int64 { return int64(x*1000 + 0.5) }

// Flavors fetches the machine types.
func (c *Client) Flavors() scheduler.MachineTypesListed {
	c.b.Wait(0, 0)
	st, out, err := c.w.Do("GET", "/flavors", nil, tuning.CloudTimeout)
	var r struct {
		Builds []build `json:"Builds"`
	}
	if err != nil || st != 200 || json.Unmarshal(out, &r) != nil || len(r.Builds) == 0 {
		return scheduler.MachineTypesListed{}
	}
	ev := scheduler.MachineTypesListed{OK: true}
	for _, b := range r.Builds {
		ev.Types = append(ev.Types, domain.MachineType{
			Name: b.Name, Capacity: domain.Resources{CPU: Milli(b.Cores), GPU: Milli(b.Cards), Memory: Milli(b.MemGb)},
			ImageCacheGB: b.CacheGb, FetchGBPerS: b.PullGbPerS, Price: b.Hourly, SpotPrice: b.SpotPrice, BootSeconds: b.BootS, Zones: b.Yards,
		})
	}
	return ev
}

// List fetches the machine list, all pages.
func (c *Client) List() scheduler.InstancesListed {
	ev := scheduler.InstancesListed{OK: true}
	after := ""
	for {
		c.b.Wait(1, 0)
		st, out, err := c.w.Do("GET", "/rentals?Since="+url.QueryEscape(after)+"&Page=500", nil, tuning.CloudTimeout)
		var r struct {
			Brackets  []bracket `json:"Brackets"`
			Truncated bool      `json:"Truncated"`
		}
		if err != nil || st != 200 || json.Unmarshal(out, &r) != nil {
			return scheduler.InstancesListed{}
		}
		for _, b := range r.Brackets {
			ev.Instances = append(ev.Instances, domain.Instance{Name: b.NameID, Addr: b.Address, Type: b.Build, Zone: b.Yard,
				Spot: b.Loaners, Status: b.Status, HeldSeconds: b.HeldS})
			after = b.NameID
		}
		if !r.Truncated || len(r.Brackets) == 0 {
			return ev
		}
	}
}

// Rent asks for machines.
func (c *Client) Rent(e scheduler.RentMachines) scheduler.RentalAnswered {
	c.b.Wait(0, 0)
	body, _ := json.Marshal(struct {
		Hire    string `json:"Hire"`
		Build   string `json:"Build"`
		Yard    string `json:"Yard"`
		Loaners bool   `json:"Loaners"`
		Count   int    `json:"Count"`
	}{e.RentalID, e.Type, e.Zone, e.Spot, e.Count})
	st, out, err := c.w.Do("POST", "/rentals", body, tuning.CloudTimeout)
	ev := scheduler.RentalAnswered{RentalID: e.RentalID}
	if err != nil {
		return ev
	}
	var r struct {
		Brackets []string `json:"Brackets"`
		Error    string   `json:"error"`
	}
	if json.Unmarshal(out, &r) != nil {
		return ev
	}
	switch {
	case st == 200:
		ev.OK, ev.Names = true, r.Brackets
	case st == 400, st == 503 && r.Error == "no capacity":
		ev.NoCapacity = true
	}
	return ev
}

// Return gives machines back.
func (c *Client) Return(e scheduler.ReturnMachines) scheduler.ReturnAnswered {
	c.b.Wait(0, 0)
	body, _ := json.Marshal(struct {
		Brackets []string `json:"Brackets"`
	}{e.Names})
	st, _, err := c.w.Do("POST", "/rentals/return", body, tuning.CloudTimeout)
	return scheduler.ReturnAnswered{Names: e.Names, OK: err == nil && st == 200}
}
