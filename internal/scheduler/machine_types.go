package scheduler

import (
	"slices"
	"strconv"
	"time"

	"brassglade/internal/tuning"
)

func (c *Controller) onMachineTypesListed(e MachineTypesListed) {
	f := &c.scaling
	f.listingTypes = false
	if !e.OK {
		f.nextTypesAt = c.now + 3*time.Second
		return
	}
	f.nextTypesAt = c.now + tuning.FlavorsEvery
	if c.isLeader() && string(mustEncode(e.Types)) != string(mustEncode(c.cache.machineTypes)) {
		c.commit(LaneUser, Transaction{
			Conditions: []Condition{{keyView, c.cache.modRevisions[keyView]}},
			Puts:       c.machineTypePages(e.Types),
		}, func(r CommitResult, _ CommitAnswered) {
			if r != Committed {
				c.scaling.nextTypesAt = c.now + time.Second
			}
		})
	}
}

// machineTypePages are the values that the types go into: one, or where they would not
// fit a smaller bound, several, once all controllers read those.
func (c *Controller) machineTypePages(fs []MachineType) []Put {
	if b := mustEncode(MachineTypePage{Types: fs}); len(b) <= c.cfg.ValueLimit || !c.formatOn() && len(b) <= c.valueBound() {
		return []Put{{Key: keyMachineTypes, Value: b}}
	}
	var pages []MachineTypePage
	for _, f := range fs {
		n := len(pages)
		if n > 0 {
			if p := append(slices.Clone(pages[n-1].Types), f); len(mustEncode(MachineTypePage{Types: p, More: 99})) <= c.cfg.ValueLimit {
				pages[n-1].Types = p
				continue
			}
		}
		pages = append(pages, MachineTypePage{Types: []MachineType{f}})
	}
	if n := len(pages); n > c.cfg.TransactionLimit {
		c.error("too many machine types", "pages", n)
		pages = pages[:c.cfg.TransactionLimit]
	}
	pages[0].More = len(pages) - 1
	var puts []Put
	for i, p := range pages {
		key := keyMachineTypes
		if i > 0 {
			key = prefixMachineTypes + strconv.Itoa(i)
		}
		puts = append(puts, Put{Key: key, Value: mustEncode(p)})
	}
	return puts
}

// applyMachineTypes takes a page of types.
func (c *Controller) applyMachineTypes(key string, f MachineTypePage) {
	c.cache.machineTypePages[key] = f
	first := c.cache.machineTypePages[keyMachineTypes]
	c.cache.machineTypes = slices.Clone(first.Types)
	for i := 1; i <= first.More; i++ {
		c.cache.machineTypes = append(c.cache.machineTypes, c.cache.machineTypePages[prefixMachineTypes+strconv.Itoa(i)].Types...)
	}
}
