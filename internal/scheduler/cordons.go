package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// cordons are the cordons that this controller wants written. Those that are written are the
// cache's. A machine drains first and is gone once the cloud confirmed its return.
type cordons struct {
	requested   map[string]domain.Cordon // by machine
	writing     bool                     // a commit of cordons is under way
	nextWrite   steady.Gate
	lastWriteAt time.Duration // when the cordons of a large fleet were last let pass; others don't keep it
}

func newCordons() cordons { return cordons{requested: map[string]domain.Cordon{}} }

// cordonPages are the pages of cordons that one commit changes.
type cordonPages struct {
	pages    map[string]codec.CordonPage // by the name of the page
	machines []string                    // whose wanted cordons are in the pages, in order
}

// requestCordon wants a machine's requestCordon written; writeCordons does it, many at a time. A wanted one
// is replaced by "gone" alone, and a written one is never taken back.
func (c *Controller) requestCordon(machine string, wanted domain.Cordon) {
	if _, already := c.cordons.requested[machine]; already && wanted.State != domain.CordonGone {
		return
	}
	if c.cache.hasCordon(machine, wanted.State) {
		return
	}
	c.cordons.requested[machine] = wanted
	c.info("machine marked", "machine", machine, "mark", wanted.State, "why", wanted.Reason)
}

// hasCordon tells whether the machine's committed cordon is of the state, or gone, after
// which nothing comes.
func (c *cache) hasCordon(machine string, state string) bool {
	return c.isReturned(machine) || c.cordons[machine].State == state
}

// writeCordons writes the wanted cordons, many pages in one commit.
func (c *Controller) writeCordons() {
	if !c.cordons.isDue(c.now) || !c.mayWriteCordons() || !c.beginCordonRound() {
		return
	}
	if changed := c.changedCordonPages(); len(changed.machines) > 0 {
		c.commitCordons(changed)
	}
}

// isDue tells whether there is anything to write, no other write is under way, and none was
// just before.
func (c *cordons) isDue(now time.Duration) bool {
	return !c.writing && len(c.requested) > 0 && c.nextWrite.IsOpen(now)
}

// mayWriteCordons tells whether a commit of cordons may be sent. Task commits spend the changes
// as soon as there are any: cordons may go into debt, or machines taken away would be neither
// returned nor replaced.
func (c *Controller) mayWriteCordons() bool {
	return c.mayAct() && (c.cfg.WriteRate <= 0 || c.commits.tokens > -c.cfg.WriteRate*tuning.CordonDebt)
}

// beginCordonRound closes the gate for a while and tells whether to write now. In a
// large fleet idle machines can wait for others: each change of a page fails the bookings
// under way on the machines that share it.
func (c *Controller) beginCordonRound() bool {
	if !c.isLargeFleet() {
		c.cordons.nextWrite.Close(c.now + c.pace())
		return true
	}
	c.cordons.nextWrite.Close(c.now + tuning.CordonInterval)
	if !c.cordons.hasUrgent() && c.now-c.cordons.lastWriteAt < tuning.IdleCordonInterval {
		return false
	}
	c.cordons.lastWriteAt = c.now
	return true
}

// hasUrgent tells whether a machine is to be drained for another reason than being idle.
func (c *cordons) hasUrgent() bool {
	for _, cordon := range c.requested {
		if cordon.State == domain.CordonDrain && cordon.Reason != domain.DrainIdle {
			return true
		}
	}
	return false
}

// changedCordonPages puts the wanted cordons into copies of their pages, as many pages as one
// commit takes, and forgets those that need no writing any more. A cordon that its page has
// no room for waits until others of the page are returned.
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

// copyCordonPage is a copy of a committed page that fits the present limits.
func (c *Controller) copyCordonPage(name string) codec.CordonPage {
	committed := c.cache.cordonPages[name]
	page := codec.CordonPage{Draining: maps.Clone(committed.Draining), Gone: slices.Clone(committed.Gone)}
	if page.Draining == nil {
		page.Draining = map[string]string{}
	}
	c.dropDraining(&page)
	return page
}

// addCordon puts a cordon into a page and trims the page; false: there is no room for it.
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

// commitCordons writes changed pages under the condition of the view and of each page.
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
			c.cordons.nextWrite.Close(c.now + tuning.ConfirmationRetry) // and again, by then the cache knows more
			return
		}
		c.cordons.dropWritten(changed.machines, c.cache.cordons)
	})
}

// dropWritten forgets the wanted cordons of machines that are written as wanted. Another one may
// have been wanted meanwhile.
func (c *cordons) dropWritten(machines []string, written map[string]domain.Cordon) {
	for _, machine := range machines {
		if written[machine].State == c.requested[machine].State {
			delete(c.requested, machine)
		}
	}
}

// dropDraining drops draining machines from a page written under larger limits until it fits
// again, idle ones first: such a machine takes bookings once more, until it is cordoned anew.
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

// trimCordonPage forgets the machines gone longest until the page fits its value, but none
// with bookings left to release; false: it doesn't fit even so.
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

// cordonPageSize is an upper bound of a page's size as a value, in bytes.
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
