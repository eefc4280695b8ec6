package scheduler

import (
	"slices"
	"strconv"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

func (c *Controller) onMachineTypesListed(e MachineTypesListed) {
	f := &c.scaling
	f.listingTypes = false
	if !e.OK {
		f.nextTypesAt = c.now + 3*time.Second
		return
	}
	f.nextTypesAt = c.now + tuning.MachineTypesInterval
	if c.isLeader() && string(codec.Encode(e.Types)) != string(codec.Encode(c.cache.machineTypes)) {
		c.commit(LaneUser, domain.Transaction{
			Conditions: []domain.Condition{{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]}},
			Puts:       c.machineTypePages(e.Types),
		}, func(r domain.CommitResult, _ CommitAnswered) {
			if r != domain.Committed {
				c.scaling.nextTypesAt = c.now + time.Second
			}
		})
	}
}

// machineTypePages are the values that the types go into: one, or where they would not
// fit a smaller bound, several, once all controllers read those.
func (c *Controller) machineTypePages(fs []domain.MachineType) []domain.Put {
	if b := codec.Encode(codec.MachineTypePage{Types: fs}); len(b) <= c.cfg.ValueLimit || !c.formatOn() && len(b) <= c.valueBound() {
		return []domain.Put{{Key: codec.KeyMachineTypes, Value: b}}
	}
	var pages []codec.MachineTypePage
	for _, f := range fs {
		n := len(pages)
		if n > 0 {
			if p := append(slices.Clone(pages[n-1].Types), f); len(codec.Encode(codec.MachineTypePage{Types: p, More: 99})) <= c.cfg.ValueLimit {
				pages[n-1].Types = p
				continue
			}
		}
		pages = append(pages, codec.MachineTypePage{Types: []domain.MachineType{f}})
	}
	if n := len(pages); n > c.cfg.TransactionLimit {
		c.error("too many machine types", "pages", n)
		pages = pages[:c.cfg.TransactionLimit]
	}
	pages[0].More = len(pages) - 1
	var puts []domain.Put
	for i, p := range pages {
		key := codec.KeyMachineTypes
		if i > 0 {
			key = codec.PrefixMachineTypes + strconv.Itoa(i)
		}
		puts = append(puts, domain.Put{Key: key, Value: codec.Encode(p)})
	}
	return puts
}

// applyMachineTypes takes a page of types.
func (c *Controller) applyMachineTypes(key string, f codec.MachineTypePage) {
	c.cache.machineTypePages[key] = f
	first := c.cache.machineTypePages[codec.KeyMachineTypes]
	c.cache.machineTypes = slices.Clone(first.Types)
	for i := 1; i <= first.More; i++ {
		c.cache.machineTypes = append(c.cache.machineTypes, c.cache.machineTypePages[codec.PrefixMachineTypes+strconv.Itoa(i)].Types...)
	}
}
