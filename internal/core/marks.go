package core

import (
	"maps"
	"slices"
	"strings"

	"brassglade/internal/tuning"
)

// mark wants a machine's mark written; driveMarks does it, many at a time.
func (c *Core) mark(name string, m MachineMark) {
	now := c.st.marks[name]
	if _, ok := c.wantMark[name]; ok && m.State != MarkGone || now.State == MarkGone || now.State == m.State {
		return
	}
	c.wantMark[name] = m
	c.log(1, "machine marked", "machine", name, "mark", m.State, "why", m.Why)
}

// driveMarks writes the wanted marks, page by page in one commit.
func (c *Core) driveMarks() {
	if c.markBusy || len(c.wantMark) == 0 || c.now < c.markAt || !c.fenceOK() || c.cfg.WriteRate > 0 && c.tokens <= -c.cfg.WriteRate*tuning.MarkDebt {
		return
	}
	// Task commits spend changes as soon as there are any: marks may go into
	// debt, or machines taken away would be neither returned nor replaced.
	c.markAt = c.now + c.pace()
	if c.wide() {
		c.markAt = c.now + tuning.MarkEvery
		// Idle machines can wait for others: each change of a page fails the
		// bookings under way on the machines that share it.
		urgent := false
		for _, m := range c.wantMark {
			urgent = urgent || m.State == MarkDrain && m.Why != WhyIdle
		}
		if !urgent && c.now-c.markedAt < tuning.MarkIdleEvery {
			return
		}
		c.markedAt = c.now
	}
	pages := map[string]MarkPage{}
	t := Txn{When: []Cond{{keyView, c.st.stamps[keyView]}}}
	var names []string
	for _, n := range slices.Sorted(maps.Keys(c.wantMark)) {
		m, now := c.wantMark[n], c.st.marks[n]
		if now.State == MarkGone || now.State == m.State {
			delete(c.wantMark, n)
			continue
		}
		home := c.markHome(n)
		p, ok := pages[home]
		if !ok {
			if len(pages) >= c.cfg.TxnOps {
				continue
			}
			p = MarkPage{maps.Clone(c.st.pages[home].Drain), slices.Clone(c.st.pages[home].Gone)}
			if p.Drain == nil {
				p.Drain = map[string]string{}
			}
			c.dropDrainMarks(&p)
		}
		was, drained := p.Drain[n]
		if m.State == MarkGone {
			delete(p.Drain, n)
			p.Gone = append(p.Gone, n)
		} else {
			p.Drain[n] = m.Why
		}
		if !c.trimPage(&p) {
			if delete(p.Drain, n); drained { // no room until others are returned
				p.Drain[n] = was
			}
			continue
		}
		pages[home] = p
		names = append(names, n)
	}
	for _, home := range slices.Sorted(maps.Keys(pages)) {
		key := preMach + home
		t.When = append(t.When, Cond{key, c.st.stamps[key]})
		t.Apply = append(t.Apply, Put{Key: key, Value: enc(pages[home])})
	}
	if len(names) == 0 {
		return
	}
	c.markBusy = true
	c.commit(LaneTask, t, func(r CommitResult, e EvCommit) {
		c.markBusy = false
		if r != Committed {
			c.markAt = c.now + tuning.ConfirmRetry // and again, by then the cache knows more
			return
		}
		for _, n := range names {
			if c.st.marks[n].State == c.wantMark[n].State {
				delete(c.wantMark, n)
			}
		}
	})
}

// dropDrainMarks drops drain marks from a page written under larger limits until it fits
// again: such a machine takes bookings once more, until it is marked anew.
func (c *Core) dropDrainMarks(p *MarkPage) {
	if c.trimPage(p) {
		return
	}
	names := slices.SortedFunc(maps.Keys(p.Drain), func(a, b string) int {
		if ia, ib := p.Drain[a] == WhyIdle, p.Drain[b] == WhyIdle; ia != ib {
			return map[bool]int{true: -1, false: 1}[ia]
		}
		return strings.Compare(b, a)
	})
	for _, n := range names {
		if delete(p.Drain, n); c.trimPage(p) {
			return
		}
	}
}

// trimPage forgets the machines gone longest until the page fits its value;
// false: it doesn't fit even so.
func (c *Core) trimPage(p *MarkPage) bool {
	size := func() int {
		n := tuning.PackSlack
		for name, why := range p.Drain {
			n += len(name) + len(why) + 6
		}
		for _, name := range p.Gone {
			n += len(name) + 3
		}
		return n
	}
	for i := 0; size() > c.cfg.ValueB; {
		for i < len(p.Gone) && len(c.st.byMach[p.Gone[i]]) > 0 {
			i++
		}
		if i == len(p.Gone) {
			return false
		}
		p.Gone = slices.Delete(p.Gone, i, i+1)
	}
	return true
}
