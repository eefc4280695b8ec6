package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// cordons are the cordons that this controller wants written.
type cordons struct {
	wanted      map[string]domain.Cordon // by machine
	writing     bool
	nextWriteAt time.Duration
	lastWriteAt time.Duration
}

func newCordons() cordons { return cordons{wanted: map[string]domain.Cordon{}} }

// cordon wants a machine's mark written; writeCordons does it, many at a time.
func (c *Controller) cordon(name string, m domain.Cordon) {
	now := c.cache.cordons[name]
	if _, ok := c.cordons.wanted[name]; ok && m.State != domain.CordonGone || now.State == domain.CordonGone || now.State == m.State {
		return
	}
	c.cordons.wanted[name] = m
	c.info("machine marked", "machine", name, "mark", m.State, "why", m.Reason)
}

// writeCordons writes the wanted marks, page by page in one commit.
func (c *Controller) writeCordons() {
	if c.cordons.writing || len(c.cordons.wanted) == 0 || c.now < c.cordons.nextWriteAt || !c.mayAct() || c.cfg.WriteRate > 0 && c.commits.tokens <= -c.cfg.WriteRate*tuning.CordonDebt {
		return
	}
	// Task commits spend changes as soon as there are any: marks may go into
	// debt, or machines taken away would be neither returned nor replaced.
	c.cordons.nextWriteAt = c.now + c.pace()
	if c.isLargeFleet() {
		c.cordons.nextWriteAt = c.now + tuning.CordonInterval
		// Idle machines can wait for others: each change of a page fails the
		// bookings under way on the machines that share it.
		urgent := false
		for _, m := range c.cordons.wanted {
			urgent = urgent || m.State == domain.CordonDrain && m.Reason != domain.DrainIdle
		}
		if !urgent && c.now-c.cordons.lastWriteAt < tuning.IdleCordonInterval {
			return
		}
		c.cordons.lastWriteAt = c.now
	}
	pages := map[string]codec.CordonPage{}
	t := domain.Transaction{Conditions: []domain.Condition{{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]}}}
	var names []string
	for _, n := range slices.Sorted(maps.Keys(c.cordons.wanted)) {
		m, now := c.cordons.wanted[n], c.cache.cordons[n]
		if now.State == domain.CordonGone || now.State == m.State {
			delete(c.cordons.wanted, n)
			continue
		}
		home := c.cordonPageOf(n)
		p, ok := pages[home]
		if !ok {
			if len(pages) >= c.cfg.TransactionLimit {
				continue
			}
			p = codec.CordonPage{Draining: maps.Clone(c.cache.cordonPages[home].Draining), Gone: slices.Clone(c.cache.cordonPages[home].Gone)}
			if p.Draining == nil {
				p.Draining = map[string]string{}
			}
			c.dropDraining(&p)
		}
		was, drained := p.Draining[n]
		if m.State == domain.CordonGone {
			delete(p.Draining, n)
			p.Gone = append(p.Gone, n)
		} else {
			p.Draining[n] = m.Reason
		}
		if !c.trimCordonPage(&p) {
			if delete(p.Draining, n); drained { // no room until others are returned
				p.Draining[n] = was
			}
			continue
		}
		pages[home] = p
		names = append(names, n)
	}
	for _, home := range slices.Sorted(maps.Keys(pages)) {
		key := codec.PrefixCordons + home
		t.Conditions = append(t.Conditions, domain.Condition{Key: key, ModRevision: c.cache.modRevisions[key]})
		t.Puts = append(t.Puts, domain.Put{Key: key, Value: codec.Encode(pages[home])})
	}
	if len(names) == 0 {
		return
	}
	c.cordons.writing = true
	c.commit(LaneTask, t, func(r domain.CommitResult, e CommitAnswered) {
		c.cordons.writing = false
		if r != domain.Committed {
			c.cordons.nextWriteAt = c.now + tuning.ConfirmationRetry // and again, by then the cache knows more
			return
		}
		for _, n := range names {
			if c.cache.cordons[n].State == c.cordons.wanted[n].State {
				delete(c.cordons.wanted, n)
			}
		}
	})
}

// dropDraining drops drain marks from a page written under larger limits until it fits
// again: such a machine takes bookings once more, until it is marked anew.
func (c *Controller) dropDraining(p *codec.CordonPage) {
	if c.trimCordonPage(p) {
		return
	}
	names := slices.SortedFunc(maps.Keys(p.Draining), func(a, b string) int {
		if ia, ib := p.Draining[a] == domain.DrainIdle, p.Draining[b] == domain.DrainIdle; ia != ib {
			return map[bool]int{true: -1, false: 1}[ia]
		}
		return strings.Compare(b, a)
	})
	for _, n := range names {
		if delete(p.Draining, n); c.trimCordonPage(p) {
			return
		}
	}
}

// trimCordonPage forgets the machines gone longest until the page fits its value;
// false: it doesn't fit even so.
func (c *Controller) trimCordonPage(p *codec.CordonPage) bool {
	size := func() int {
		n := tuning.PackSlack
		for name, why := range p.Draining {
			n += len(name) + len(why) + 6
		}
		for _, name := range p.Gone {
			n += len(name) + 3
		}
		return n
	}
	for i := 0; size() > c.cfg.ValueLimit; {
		for i < len(p.Gone) && len(c.cache.bookedOn[p.Gone[i]]) > 0 {
			i++
		}
		if i == len(p.Gone) {
			return false
		}
		p.Gone = slices.Delete(p.Gone, i, i+1)
	}
	return true
}
