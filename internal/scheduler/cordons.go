package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// cordons holds the cordons that this controller has yet to write. Written cordons are in the
// cache. A machine drains first, and is gone once the cloud has confirmed its return.
type cordons struct {
	requested   map[string]domain.Cordon // by machine
	writing     bool                     // a commit of cordons is under way
	nextWrite   monotime.Deadline
	lastWriteAt time.Duration // when a large fleet last wrote cordons; unused in other fleets
}

func newCordons() cordons { return cordons{requested: map[string]domain.Cordon{}} }

// cordonPages holds the pages of cordons that one commit changes.
type cordonPages struct {
	pages    map[string]codec.CordonPage // by the name of the page
	machines []string                    // machines whose requested cordons are in the pages, sorted
}

// requestCordon requests that a machine's cordon be written; writeCordons writes many at a time.
// Only "gone" replaces a requested cordon, and a written cordon is never withdrawn.
func (c *Controller) requestCordon(machine string, wanted domain.Cordon) {
	if _, already := c.cordons.requested[machine]; already && wanted.State != domain.CordonGone {
		return
	}
	if c.cache.hasCordon(machine, wanted.State) {
		return
	}
	c.cordons.requested[machine] = wanted
	c.info("machine marked", "machine", machine, "state", wanted.State, "reason", wanted.Reason)
}

// hasCordon reports whether the machine's committed cordon has the state, or is "gone", which is
// the final state.
func (c *cache) hasCordon(machine string, state string) bool {
	return c.isReturned(machine) || c.cordons[machine].State == state
}

// writeCordons writes the requested cordons, with many pages in one commit.
func (c *Controller) writeCordons() {
	if !c.cordons.isDue(c.now) || !c.mayWriteCordons() || !c.beginCordonRound() {
		return
	}
	if changed := c.changedCordonPages(); len(changed.machines) > 0 {
		c.commitCordons(changed)
	}
}

// isDue reports whether there are cordons to write, no write is under way and the pause after the
// last one is over.
func (c *cordons) isDue(now time.Duration) bool {
	return !c.writing && len(c.requested) > 0 && c.nextWrite.HasPassed(now)
}

// mayWriteCordons reports whether a commit of cordons may be sent. Task commits use up the credit
// for changes as soon as there is any. Cordons may therefore exceed it, since otherwise machines
// that were taken away would be neither returned nor replaced.
func (c *Controller) mayWriteCordons() bool {
	return c.mayAct() && (c.cfg.WriteRate <= 0 || c.commits.tokens > -c.cfg.WriteRate*tuning.CordonDebt)
}

// beginCordonRound sets the earliest time of the next round and reports whether to write in this
// one. In a large fleet cordons of idle machines wait longer, so that others can be written with
// them: each change of a page fails the bookings under way on the machines that share the page.
func (c *Controller) beginCordonRound() bool {
	if !c.isLargeFleet() {
		c.cordons.nextWrite.Set(c.now + c.planInterval())
		return true
	}
	c.cordons.nextWrite.Set(c.now + tuning.CordonInterval)
	if !c.cordons.hasUrgent() && c.now-c.cordons.lastWriteAt < tuning.IdleCordonInterval {
		return false
	}
	c.cordons.lastWriteAt = c.now
	return true
}

// hasUrgent reports whether a machine is to be drained for another reason than being idle.
func (c *cordons) hasUrgent() bool {
	for _, cordon := range c.requested {
		if cordon.State == domain.CordonDrain && cordon.Reason != domain.DrainIdle {
			return true
		}
	}
	return false
}

// changedCordonPages adds the requested cordons to copies of their pages, for as many pages as
// one commit takes, and drops the requests that need no writing any more. A cordon for which its
// page has no room waits until other machines of the page are returned.
func (c *Controller) changedCordonPages() cordonPages {
	changed := cordonPages{pages: map[string]codec.CordonPage{}}
	for _, machine := range slices.Sorted(maps.Keys(c.cordons.requested)) {
		wanted := c.cordons.requested[machine]
		if c.cache.hasCordon(machine, wanted.State) {
			delete(c.cordons.requested, machine)
			continue
		}
		name := c.cordonPageOf(machine)
		page, copied := changed.pages[name]
		if !copied {
			if len(changed.pages) >= c.cfg.TransactionLimit {
				continue
			}
			page = c.copyCordonPage(name)
		}
		if c.addCordon(&page, machine, wanted) {
			changed.pages[name] = page
			changed.machines = append(changed.machines, machine)
		}
	}
	return changed
}

// copyCordonPage returns a copy of a committed page, reduced to the current size limit.
func (c *Controller) copyCordonPage(name string) codec.CordonPage {
	committed := c.cache.cordonPages[name]
	page := codec.CordonPage{Draining: maps.Clone(committed.Draining), Gone: slices.Clone(committed.Gone)}
	if page.Draining == nil {
		page.Draining = map[string]string{}
	}
	c.dropDraining(&page)
	return page
}

// addCordon adds a cordon to a page and trims the page. If there is no room it returns false and
// leaves the draining machines of the page unchanged.
func (c *Controller) addCordon(page *codec.CordonPage, machine string, wanted domain.Cordon) bool {
	before, drained := page.Draining[machine]
	if wanted.State == domain.CordonGone {
		delete(page.Draining, machine)
		page.Gone = append(page.Gone, machine)
	} else {
		page.Draining[machine] = wanted.Reason
	}
	if c.trimCordonPage(page) {
		return true
	}
	delete(page.Draining, machine)
	if drained {
		page.Draining[machine] = before
	}
	return false
}

// commitCordons commits changed pages, on condition that neither the view nor any of the pages
// has changed.
func (c *Controller) commitCordons(changed cordonPages) {
	transaction := domain.Transaction{
		Conditions: []domain.Condition{{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]}},
	}
	for _, name := range slices.Sorted(maps.Keys(changed.pages)) {
		key := codec.PrefixCordons + name
		transaction.Conditions = append(transaction.Conditions, domain.Condition{Key: key, ModRevision: c.cache.modRevisions[key]})
		transaction.Puts = append(transaction.Puts, domain.Put{Key: key, Value: codec.Encode(changed.pages[name])})
	}
	c.cordons.writing = true
	c.commit(LaneTask, transaction, func(result domain.CommitResult, _ CommitAnswered) {
		c.cordons.writing = false
		if result != domain.Committed {
			c.cordons.nextWrite.Set(c.now + tuning.ConfirmationRetry) // retried with a newer cache
			return
		}
		c.cordons.dropWritten(changed.machines, c.cache.cordons)
	})
}

// dropWritten drops the requests of machines whose written cordon has the requested state.
// Another cordon may have been requested since the commit was sent.
func (c *cordons) dropWritten(machines []string, written map[string]domain.Cordon) {
	for _, machine := range machines {
		if written[machine].State == c.requested[machine].State {
			delete(c.requested, machine)
		}
	}
}

// dropDraining removes draining machines, idle ones first, from a page written under larger
// limits until it fits again. A removed machine takes bookings again until it is cordoned once
// more.
func (c *Controller) dropDraining(page *codec.CordonPage) {
	if c.trimCordonPage(page) {
		return
	}
	machines := slices.SortedFunc(maps.Keys(page.Draining), func(a, b string) int {
		if order := trueFirst(page.Draining[a] == domain.DrainIdle, page.Draining[b] == domain.DrainIdle); order != 0 {
			return order
		}
		return strings.Compare(b, a)
	})
	for _, machine := range machines {
		delete(page.Draining, machine)
		if c.trimCordonPage(page) {
			return
		}
	}
}

// trimCordonPage removes the machines that have been gone longest until the page fits the size
// limit of a value. Machines with bookings that are still to be released stay. It returns false
// if the page doesn't fit even then.
func (c *Controller) trimCordonPage(page *codec.CordonPage) bool {
	for i := 0; cordonPageSize(page) > c.cfg.ValueLimit; {
		for i < len(page.Gone) && len(c.cache.bookedOn[page.Gone[i]]) > 0 {
			i++
		}
		if i == len(page.Gone) {
			return false
		}
		page.Gone = slices.Delete(page.Gone, i, i+1)
	}
	return true
}

// cordonPageSize returns an upper bound of a page's size as a value, in bytes.
func cordonPageSize(page *codec.CordonPage) int {
	const quotes, separators = 2, 1
	size := tuning.PackSlack
	for machine, reason := range page.Draining {
		size += len(machine) + quotes + len(reason) + quotes + 2*separators
	}
	for _, machine := range page.Gone {
		size += len(machine) + quotes + separators
	}
	return size
}
