// Package cloud is the client of the cloud from which machines are rented. It lists machine
// types and rented machines, rents machines and returns them, within a rate of requests. JSON
// tags hold the names of the protocol; everything else uses the types of packages domain and
// scheduler.
package cloud

import (
	"fmt"
	"net/http"
	"net/url"

	json "github.com/goccy/go-json"

	"brassglade/internal/domain"
	"brassglade/internal/exactjson"
	"brassglade/internal/httpclient"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// Paths of the cloud's HTTP interface.
const (
	machineTypesPath = "/flavors"
	instancesPath    = "/rentals"
	rentPath         = "/rentals"
	returnPath       = "/rentals/return"
)

// instancesPerPage is the largest number of machines that one page of the list holds.
const instancesPerPage = 500

// Lanes of the rate limiter: requests that the scheduler waits for go before the pages of the
// list of machines.
const (
	urgentLane = iota
	listLane
)

// noCapacityError is the error text with which the cloud responds, with status 503, to a rental
// that it has no machines for. With any other text, status 503 is a failure of the cloud itself.
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

// statusError is the status of a response that isn't 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", int(e)) }

// Client sends requests to the cloud. Its methods may be called by several goroutines concurrently.
// Each waits until the rate limiter admits the request and then up to tuning.CloudTimeout for
// each response.
type Client struct {
	http    *httpclient.Client
	limiter *httpclient.RateLimiter
}

// New returns a client of the cloud at an address, "host:port". On average it sends at most
// requestRate requests a second.
func New(address string, requestRate float64) *Client {
	return &Client{http: httpclient.New(address), limiter: httpclient.NewRateLimiter(requestRate, 1)}
}

// MachineTypes fetches the machine types that can be rented. The result isn't OK if the request
// failed or the list is empty.
func (c *Client) MachineTypes() scheduler.MachineTypesListed {
	var response machineTypesResponse
	err := c.get(urgentLane, machineTypesPath, &response)
	if err != nil || len(response.MachineTypes) == 0 {
		return scheduler.MachineTypesListed{}
	}
	listed := scheduler.MachineTypesListed{OK: true}
	for _, t := range response.MachineTypes {
		listed.Types = append(listed.Types, t.toDomain())
	}
	return listed
}

// toDomain converts a machine type to the scheduler's units, thousandths of processors, GPUs
// and gigabytes of memory.
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

// Instances fetches the whole list of rented machines. If any page fails, the result has no
// machines and isn't OK.
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

// Rent rents machines. If neither OK nor NoCapacity is set in the result, the outcome is
// unknown or the cloud failed; the scheduler then repeats the request with the same rental ID,
// under which the cloud rents out machines only once. A rejected request (status 400) counts as
// a lack of capacity.
func (c *Client) Rent(e scheduler.RentMachines) scheduler.RentalAnswered {
	result := scheduler.RentalAnswered{RentalID: e.RentalID}
	response, err := c.post(rentPath, rentRequest{
		RentalID: e.RentalID, MachineType: e.Type, Zone: e.Zone, Spot: e.Spot, Count: e.Count,
	})
	if err != nil {
		return result
	}
	var rental rentResponse
	if exactjson.Unmarshal(response.Body, &rental) != nil {
		return result
	}
	switch response.Status {
	case http.StatusOK:
		result.OK, result.Names = true, rental.Names
	case http.StatusBadRequest:
		result.NoCapacity = true
	case http.StatusServiceUnavailable:
		result.NoCapacity = rental.Error == noCapacityError
	}
	return result
}

// Return returns rented machines to the cloud.
func (c *Client) Return(e scheduler.ReturnMachines) scheduler.ReturnAnswered {
	response, err := c.post(returnPath, returnRequest{Names: e.Names})
	return scheduler.ReturnAnswered{Names: e.Names, OK: err == nil && response.Status == http.StatusOK}
}

// get fetches a path and decodes the response into response, a pointer.
func (c *Client) get(lane int, path string, response any) error {
	c.limiter.Wait(lane, 0)
	reply, err := c.http.Do(http.MethodGet, path, nil, tuning.CloudTimeout)
	if err != nil {
		return fmt.Errorf("request to the cloud: %w", err)
	}
	if reply.Status != http.StatusOK {
		return fmt.Errorf("response of the cloud: %w", statusError(reply.Status))
	}
	if err := exactjson.Unmarshal(reply.Body, response); err != nil {
		return fmt.Errorf("cannot decode the cloud's response: %w", err)
	}
	return nil
}

// post sends a request that rents or returns machines. The response may have any status.
func (c *Client) post(path string, request any) (httpclient.Response, error) {
	c.limiter.Wait(urgentLane, 0)
	body, err := json.Marshal(request)
	if err != nil {
		return httpclient.Response{}, fmt.Errorf("cannot encode a request to the cloud: %w", err)
	}
	response, err := c.http.Do(http.MethodPost, path, body, tuning.CloudTimeout)
	if err != nil {
		return httpclient.Response{}, fmt.Errorf("request to the cloud: %w", err)
	}
	return response, nil
}
