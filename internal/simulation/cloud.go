package simulation

import (
	"fmt"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// defaultMarketCapacity is the number of machines of each zone and kind (spot or not) that can be
// rented at a time, unless the script sets another.
const defaultMarketCapacity = 5

// machineCapacity is the capacity of every machine.
var machineCapacity = domain.Resources{CPU: 16000, GPU: 4000, Memory: 64000}

// cloud is a simulated cloud provider with one machine type, two zones and a list of instances
// that is out of date by Settings.InstanceListLag.
type cloud struct {
	cluster     *Cluster
	isUp        bool
	rentals     map[string][]string // machine names by rental ID, since a rental may be requested twice
	lastMachine int
}

// machineTypes returns the response to a query for machine types; nil: no response.
func (c *cloud) machineTypes() any {
	if !c.isUp {
		return nil
	}
	return scheduler.MachineTypesListed{OK: true, Types: []domain.MachineType{{
		Name:         "box",
		Capacity:     machineCapacity,
		ImageCacheGB: 100,
		FetchGBPerS:  1,
		Price:        10,
		SpotPrice:    4,
		BootSeconds:  10,
		Zones:        []string{"a", "b"},
	}}}
}

// instances returns the list of rented machines; nil: no response. Rentals and ends of machines
// appear in it only after Settings.InstanceListLag.
func (c *cloud) instances() any {
	if !c.isUp {
		return nil
	}
	now, lag := c.cluster.Now, c.cluster.settings.InstanceListLag
	listed := scheduler.InstancesListed{OK: true}
	for _, w := range c.cluster.workers {
		if w.isGone && now-w.goneAt > lag || now-w.rentedAt < lag {
			continue
		}
		status := "booting"
		if w.isUp {
			status = "running"
		}
		listed.Instances = append(listed.Instances, domain.Instance{
			Name:        w.name,
			Addr:        w.name,
			Type:        "box",
			Zone:        w.zone,
			Spot:        w.isSpot,
			Status:      status,
			HeldSeconds: (now - w.rentedAt).Seconds(),
		})
	}
	return listed
}

// rent rents as many of the requested machines as the market has, and returns the response. A
// repeated request with the same rental ID gets the same machines.
func (c *cloud) rent(e scheduler.RentMachines) any {
	if !c.isUp {
		return scheduler.RentalAnswered{RentalID: e.RentalID}
	}
	if names, ok := c.rentals[e.RentalID]; ok {
		return scheduler.RentalAnswered{RentalID: e.RentalID, OK: true, Names: names}
	}
	var names []string
	for len(names) < e.Count && c.countRented(e.Zone, e.Spot) < c.cluster.marketCapacity {
		c.lastMachine++
		w := newWorker(c.cluster, fmt.Sprintf("n-%06d", c.lastMachine), e.Zone, e.Spot)
		names = append(names, w.name)
	}
	if len(names) == 0 {
		return scheduler.RentalAnswered{RentalID: e.RentalID, NoCapacity: true}
	}
	c.rentals[e.RentalID] = names
	return scheduler.RentalAnswered{RentalID: e.RentalID, OK: true, Names: names}
}

// countRented returns the number of machines of a zone and kind (spot or not) that are rented now.
func (c *cloud) countRented(zone string, spot bool) int {
	n := 0
	for _, w := range c.cluster.workers {
		if !w.isGone && w.zone == zone && w.isSpot == spot {
			n++
		}
	}
	return n
}

// returnMachines ends the rental of machines and returns the response; nil: no response.
func (c *cloud) returnMachines(names []string) any {
	if !c.isUp {
		return nil
	}
	for _, name := range names {
		if w := c.cluster.workersByName[name]; w != nil && !w.isGone {
			w.terminate("returned")
		}
	}
	return scheduler.ReturnAnswered{Names: names, OK: true}
}
