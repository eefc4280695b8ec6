// Package cloud is the client of the cloud that rents out machines: it lists machine types
// and rented machines, rents and returns, within this controller's part of the cloud's
// request rate. The structs here have the protocol's names; everything else uses the
// types of packages domain and scheduler.
package cloud

import (
	"fmt"
	"net/http"
	"net/url"

	json "github.com/goccy/go-json"

	"brassglade/internal/domain"
	"brassglade/internal/httpclient"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// Paths of the cloud's interface.
const (
	machineTypesPath = "/flavors"
	instancesPath    = "/rentals"
	rentPath         = "/rentals"
	returnPath       = "/rentals/return"
)

// instancesPerPage is how many machines one page of the list holds.
const instancesPerPage = 500

// The budget's lanes: what the scheduler waits for goes before the pages of a list.
const (
	urgentLane = iota
	listLane
)

// noCapacityError is the error text of a rental that the cloud has no machine for; other
// answers of status 503 are failures of the cloud itself.
const noCapacityError = "no capacity"

type machineTypesResponse struct {
	MachineTypes []machineType `json:"Builds"`
}

type machineType struct {
	Name         string   `json:"Name"`
	CPUs         float64  `json:"Cores"`
	GPUs         float64  `json:"Cards"`
	MemoryGB     float64  `json:"MemGb"`
	ImageCacheGB float64  `json:"CacheGb"`
	FetchGBPerS  float64  `json:"PullGbPerS"`
	HourlyPrice  float64  `json:"Hourly"`
	SpotPrice    float64  `json:"SpotPrice"`
	BootSeconds  float64  `json:"BootS"`
	Zones        []string `json:"Yards"`
}

type instancesResponse struct {
	Instances []instance `json:"Brackets"`
	Truncated bool       `json:"Truncated"` // another page follows
}

type instance struct {
	Name        string  `json:"NameId"`
	Address     string  `json:"Address"`
	MachineType string  `json:"Build"`
	Zone        string  `json:"Yard"`
	Spot        bool    `json:"Loaners"`
	Status      string  `json:"Status"`
	HeldSeconds float64 `json:"HeldS"`
}

type rentRequest struct {
	RentalID    string `json:"Hire"`
	MachineType string `json:"Build"`
	Zone        string `json:"Yard"`
	Spot        bool   `json:"Loaners"`
	Count       int    `json:"Count"`
}

type rentResponse struct {
	Names []string `json:"Brackets"`
	Error string   `json:"error"`
}

type returnRequest struct {
	Names []string `json:"Brackets"`
}

// statusError is an answer of another status than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// Client sends requests to the cloud. Its methods may be called by several goroutines;
// each waits until the budget lets the request go, and then up to tuning.CloudTimeout.
type Client struct {
	http    *httpclient.Client
	limiter *httpclient.RateLimiter
}

// New returns a client of an address, "host:port", that sends so many requests a second.
func New(address string, requestRate float64) *Client {
	return &Client{http: httpclient.New(address), limiter: httpclient.NewRateLimiter(requestRate, 1)}
}

// MachineTypes fetches the machine types that can be rented.
func (c *Client) MachineTypes() scheduler.MachineTypesListed {
	var answer machineTypesResponse
	err := c.get(urgentLane, machineTypesPath, &answer)
	if err != nil || len(answer.MachineTypes) == 0 {
		return scheduler.MachineTypesListed{}
	}
	listed := scheduler.MachineTypesListed{OK: true}
	for _, t := range answer.MachineTypes {
		listed.Types = append(listed.Types, t.toDomain())
	}
	return listed
}

func (t machineType) toDomain() domain.MachineType {
	return domain.MachineType{
		Name: t.Name,
		Capacity: domain.Resources{
			CPU:    domain.Thousandths(t.CPUs),
			GPU:    domain.Thousandths(t.GPUs),
			Memory: domain.Thousandths(t.MemoryGB),
		},
		ImageCacheGB: t.ImageCacheGB,
		FetchGBPerS:  t.FetchGBPerS,
		Price:        t.HourlyPrice,
		SpotPrice:    t.SpotPrice,
		BootSeconds:  t.BootSeconds,
		Zones:        t.Zones,
	}
}

// Instances fetches the list of rented machines: all pages, or OK is false.
func (c *Client) Instances() scheduler.InstancesListed {
	listed := scheduler.InstancesListed{OK: true}
	after := ""
	for {
		path := fmt.Sprintf("%s?Since=%s&Page=%d", instancesPath, url.QueryEscape(after), instancesPerPage)
		var page instancesResponse
		if err := c.get(listLane, path, &page); err != nil {
			return scheduler.InstancesListed{}
		}
		for _, i := range page.Instances {
			listed.Instances = append(listed.Instances, domain.Instance{
				Name: i.Name, Addr: i.Address, Type: i.MachineType, Zone: i.Zone,
				Spot: i.Spot, Status: i.Status, HeldSeconds: i.HeldSeconds,
			})
			after = i.Name
		}
		if !page.Truncated || len(page.Instances) == 0 {
			return listed
		}
	}
}

// Rent asks for machines. A request whose outcome is unknown is neither OK nor without
// capacity; the scheduler repeats it under the same rental id, which the cloud carries
// out once.
func (c *Client) Rent(e scheduler.RentMachines) scheduler.RentalAnswered {
	answered := scheduler.RentalAnswered{RentalID: e.RentalID}
	response, err := c.post(rentPath, rentRequest{
		RentalID: e.RentalID, MachineType: e.Type, Zone: e.Zone, Spot: e.Spot, Count: e.Count,
	})
	if err != nil {
		return answered
	}
	var answer rentResponse
	if json.Unmarshal(response.Body, &answer) != nil {
		return answered
	}
	switch response.Status {
	case http.StatusOK:
		answered.OK, answered.Names = true, answer.Names
	case http.StatusBadRequest:
		answered.NoCapacity = true
	case http.StatusServiceUnavailable:
		answered.NoCapacity = answer.Error == noCapacityError
	}
	return answered
}

// Return gives machines back.
func (c *Client) Return(e scheduler.ReturnMachines) scheduler.ReturnAnswered {
	response, err := c.post(returnPath, returnRequest{Names: e.Names})
	return scheduler.ReturnAnswered{Names: e.Names, OK: err == nil && response.Status == http.StatusOK}
}

// get fetches a path and decodes its answer.
func (c *Client) get(lane int, path string, answer any) error {
	c.limiter.Wait(lane, 0)
	response, err := c.http.Do(http.MethodGet, path, nil, tuning.CloudTimeout)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("cloud: %w", statusError(response.Status))
	}
	if err := json.Unmarshal(response.Body, answer); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	return nil
}

// post sends a request that changes something; the answer may have any status.
func (c *Client) post(path string, request any) (httpclient.Response, error) {
	c.limiter.Wait(urgentLane, 0)
	body, err := json.Marshal(request)
	if err != nil {
		return httpclient.Response{}, fmt.Errorf("cloud: %w", err)
	}
	response, err := c.http.Do(http.MethodPost, path, body, tuning.CloudTimeout)
	if err != nil {
		return httpclient.Response{}, fmt.Errorf("cloud: %w", err)
	}
	return response, nil
}
