package cloud

import (
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// reply is a response of the test server.
type reply struct {
	status int
	body   string
}

// newTestClient returns a client of a test server that sends the replies in order and repeats
// the last, and the requests that the server received: method, target and body of each.
func newTestClient(t *testing.T, replies ...reply) (*Client, *[]string) {
	t.Helper()
	requests := &[]string{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		next := replies[min(len(*requests), len(replies)-1)]
		*requests = append(*requests, strings.TrimSpace(r.Method+" "+r.URL.String()+" "+string(body)))
		w.WriteHeader(next.status)
		_, _ = io.WriteString(w, next.body)
	}))
	t.Cleanup(s.Close)
	return New(strings.TrimPrefix(s.URL, "http://"), 1000), requests
}

// TestMachineTypes checks the conversion of a listed machine type, and that an empty, malformed
// or failed list isn't OK.
func TestMachineTypes(t *testing.T) {
	const listed = `{"Builds":[{"Name":"g8","Cores":64,"Cards":8,"MemGb":512.5,"CacheGb":200,"PullGbPerS":1.5,` +
		`"Hourly":12,"SpotPrice":4,"BootS":90,"Yards":["a","b"]}]}`
	for name, x := range map[string]struct {
		reply reply
		want  scheduler.MachineTypesListed
	}{
		"listed": {reply{200, listed}, scheduler.MachineTypesListed{OK: true, Types: []domain.MachineType{{
			Name: "g8", Capacity: domain.Resources{CPU: 64000, GPU: 8000, Memory: 512500}, ImageCacheGB: 200, FetchGBPerS: 1.5,
			Price: 12, SpotPrice: 4, BootSeconds: 90, Zones: []string{"a", "b"},
		}}}},
		"empty":       {reply{200, `{"Builds":[]}`}, scheduler.MachineTypesListed{}},
		"malformed":   {reply{200, `{"Bui`}, scheduler.MachineTypesListed{}},
		"unavailable": {reply{503, listed}, scheduler.MachineTypesListed{}},
	} {
		t.Run(name, func(t *testing.T) {
			c, requests := newTestClient(t, x.reply)
			if got := c.MachineTypes(); !reflect.DeepEqual(got, x.want) {
				t.Errorf("got %+v, want %+v", got, x.want)
			}
			if want := []string{"GET /flavors"}; !reflect.DeepEqual(*requests, want) {
				t.Errorf("requests %q, want %q", *requests, want)
			}
		})
	}
}

// TestInstances checks that the list has the machines of all pages, and that it isn't OK if a
// page fails. An empty page ends the list.
func TestInstances(t *testing.T) {
	first := reply{200, `{"Brackets":[{"NameId":"n 1","Address":"10.0.0.1:9","Build":"g8","Yard":"a","Loaners":true,"Status":"running","HeldS":7.5}],"Truncated":true}`}
	last := reply{200, `{"Brackets":[{"NameId":"n-2","Status":"booting"}],"Truncated":false}`}
	for name, x := range map[string]struct {
		replies []reply
		want    scheduler.InstancesListed
	}{
		"two pages": {[]reply{first, last}, scheduler.InstancesListed{OK: true, Instances: []domain.Instance{
			{Name: "n 1", Addr: "10.0.0.1:9", Type: "g8", Zone: "a", Spot: true, Status: "running", HeldSeconds: 7.5},
			{Name: "n-2", Status: "booting"},
		}}},
		"second page fails":     {[]reply{first, {500, ``}}, scheduler.InstancesListed{}},
		"second page truncated": {[]reply{first, {200, `{"Brack`}}, scheduler.InstancesListed{}},
		"second page empty":     {[]reply{first, {200, `{"Brackets":[],"Truncated":true}`}}, scheduler.InstancesListed{OK: true, Instances: []domain.Instance{{Name: "n 1", Addr: "10.0.0.1:9", Type: "g8", Zone: "a", Spot: true, Status: "running", HeldSeconds: 7.5}}}},
	} {
		t.Run(name, func(t *testing.T) {
			c, requests := newTestClient(t, x.replies...)
			if got := c.Instances(); !reflect.DeepEqual(got, x.want) {
				t.Errorf("got %+v, want %+v", got, x.want)
			}
			if want := []string{"GET /rentals?Since=&Page=500", "GET /rentals?Since=n+1&Page=500"}; !reflect.DeepEqual(*requests, want) {
				t.Errorf("requests %q, want %q", *requests, want)
			}
		})
	}
}

// TestRent checks that a lack of capacity is reported only where the cloud states it or rejects
// the request; after any other failure the scheduler repeats the request with the same rental ID.
func TestRent(t *testing.T) {
	for name, x := range map[string]struct {
		reply reply
		want  scheduler.RentalAnswered
	}{
		"rented":             {reply{200, `{"Brackets":["n-1","n-2"]}`}, scheduler.RentalAnswered{RentalID: "r-1", OK: true, Names: []string{"n-1", "n-2"}}},
		"bad request":        {reply{400, `{"error":"no such type"}`}, scheduler.RentalAnswered{RentalID: "r-1", NoCapacity: true}},
		"no capacity":        {reply{503, `{"error":"no capacity"}`}, scheduler.RentalAnswered{RentalID: "r-1", NoCapacity: true}},
		"unavailable":        {reply{503, `{"error":"busy"}`}, scheduler.RentalAnswered{RentalID: "r-1"}},
		"truncated response": {reply{200, `{"Brack`}, scheduler.RentalAnswered{RentalID: "r-1"}},
		"throttled":          {reply{429, `{}`}, scheduler.RentalAnswered{RentalID: "r-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			c, requests := newTestClient(t, x.reply)
			got := c.Rent(scheduler.RentMachines{RentalID: "r-1", Type: "g8", Zone: "a", Spot: true, Count: 2})
			if !reflect.DeepEqual(got, x.want) {
				t.Errorf("got %+v, want %+v", got, x.want)
			}
			if want := []string{`POST /rentals {"Hire":"r-1","Build":"g8","Yard":"a","Loaners":true,"Count":2}`}; !reflect.DeepEqual(*requests, want) {
				t.Errorf("requests %q, want %q", *requests, want)
			}
		})
	}
}

// TestReturn checks the request to return machines, and that only status 200 counts as OK.
func TestReturn(t *testing.T) {
	for name, x := range map[string]struct {
		reply reply
		ok    bool
	}{"returned": {reply{200, `{}`}, true}, "refused": {reply{503, `{}`}, false}} {
		t.Run(name, func(t *testing.T) {
			c, requests := newTestClient(t, x.reply)
			want := scheduler.ReturnAnswered{Names: []string{"n-1"}, OK: x.ok}
			if got := c.Return(scheduler.ReturnMachines{Names: []string{"n-1"}}); !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			if want := []string{`POST /rentals/return {"Brackets":["n-1"]}`}; !reflect.DeepEqual(*requests, want) {
				t.Errorf("requests %q, want %q", *requests, want)
			}
		})
	}
}
