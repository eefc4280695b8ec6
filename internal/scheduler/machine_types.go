package scheduler

import (
	"slices"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// onMachineTypesListed handles the cloud's list of machine types; the leader commits it if it
// changed.
func (c *Controller) onMachineTypesListed(listed MachineTypesListed) {
	c.scaling.listingMachineTypes = false
	if !listed.OK {
		c.scaling.nextMachineTypesAt = c.now + tuning.MachineTypesRetry
		return
	}
	c.scaling.nextMachineTypesAt = c.now + tuning.MachineTypesInterval
	if !c.isLeader() || string(codec.Encode(listed.Types)) == string(codec.Encode(c.cache.machineTypes)) {
		return
	}
	c.commit(LaneUser, domain.Transaction{
		Conditions: []domain.Condition{{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]}},
		Puts:       c.machineTypePuts(listed.Types),
	}, func(result domain.CommitResult, _ CommitAnswered) {
		if result != domain.Committed {
			c.scaling.nextMachineTypesAt = c.now + tuning.MachineTypesCommitRetry
		}
	})
}

// machineTypePuts returns the writes that store the types: one value, or several pages if one
// value would exceed the size limit and all controllers can read pages.
func (c *Controller) machineTypePuts(types []domain.MachineType) []domain.Put {
	value := codec.Encode(codec.MachineTypePage{Types: types})
	if len(value) <= c.cfg.ValueLimit || !c.cache.isFormatOn() && len(value) <= c.valueLimit() {
		return []domain.Put{{Key: codec.KeyMachineTypes, Value: value}}
	}
	pages := paginateMachineTypes(types, c.cfg.ValueLimit)
	if len(pages) > c.cfg.TransactionLimit {
		c.error("machine types need more pages than one transaction can write", "pages", len(pages))
		pages = pages[:c.cfg.TransactionLimit]
	}
	pages[0].More = len(pages) - 1
	var puts []domain.Put
	for i, page := range pages {
		puts = append(puts, domain.Put{Key: codec.KeyMachineTypePage(i), Value: codec.Encode(page)})
	}
	return puts
}

// paginateMachineTypes distributes the types over pages whose values take at most limit bytes,
// with room in the first page for the number of further pages.
func paginateMachineTypes(types []domain.MachineType, limit int) []codec.MachineTypePage {
	var pages []codec.MachineTypePage
	for _, machineType := range types {
		if last := len(pages) - 1; last >= 0 {
			longer := append(slices.Clone(pages[last].Types), machineType)
			if len(codec.Encode(codec.MachineTypePage{Types: longer, More: 99})) <= limit {
				pages[last].Types = longer
				continue
			}
		}
		pages = append(pages, codec.MachineTypePage{Types: []domain.MachineType{machineType}})
	}
	return pages
}

// applyMachineTypes stores a page of types and rebuilds the list of all pages.
func (c *Controller) applyMachineTypes(key string, value []byte) (matters bool, err error) {
	page, err := decodeOrZero[codec.MachineTypePage](value)
	if err != nil {
		return false, err
	}
	c.cache.machineTypePages[key] = page
	first := c.cache.machineTypePages[codec.KeyMachineTypes]
	c.cache.machineTypes = slices.Clone(first.Types)
	for i := 1; i <= first.More; i++ {
		c.cache.machineTypes = append(c.cache.machineTypes, c.cache.machineTypePages[codec.KeyMachineTypePage(i)].Types...)
	}
	c.cache.recordSize(key, len(value), c.cfg.ValueLimit)
	return true, nil
}
