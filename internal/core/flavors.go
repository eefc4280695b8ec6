package core

import (
	"slices"
	"strconv"
	"time"

	"brassglade/internal/tuning"
)

func (c *Core) onFlavors(e EvFlavors) {
	f := &c.fleet
	f.flavBusy = false
	if !e.OK {
		f.flavAt = c.now + 3*time.Second
		return
	}
	f.flavAt = c.now + tuning.FlavorsEvery
	if c.isLeader() && string(enc(e.F)) != string(enc(c.st.flavors)) {
		c.commit(LaneUser, Txn{
			When:  []Cond{{keyView, c.st.stamps[keyView]}},
			Apply: c.flavorPages(e.F),
		}, func(r CommitResult, _ EvCommit) {
			if r != Committed {
				c.fleet.flavAt = c.now + time.Second
			}
		})
	}
}

// flavorPages are the values that the types go into: one, or where they would not
// fit a smaller bound, several, once all controllers read those.
func (c *Core) flavorPages(fs []Flavor) []Put {
	if b := enc(Flavors{F: fs}); len(b) <= c.cfg.ValueB || !c.formatOn() && len(b) <= c.bound() {
		return []Put{{Key: keyFlavors, Value: b}}
	}
	var pages []Flavors
	for _, f := range fs {
		n := len(pages)
		if n > 0 {
			if p := append(slices.Clone(pages[n-1].F), f); len(enc(Flavors{F: p, More: 99})) <= c.cfg.ValueB {
				pages[n-1].F = p
				continue
			}
		}
		pages = append(pages, Flavors{F: []Flavor{f}})
	}
	if n := len(pages); n > c.cfg.TxnOps {
		c.log(0, "too many machine types", "pages", n)
		pages = pages[:c.cfg.TxnOps]
	}
	pages[0].More = len(pages) - 1
	var puts []Put
	for i, p := range pages {
		key := keyFlavors
		if i > 0 {
			key = preFlavors + strconv.Itoa(i)
		}
		puts = append(puts, Put{Key: key, Value: enc(p)})
	}
	return puts
}

// applyFlavors takes a page of types.
func (c *Core) applyFlavors(key string, f Flavors) {
	c.st.flavorPages[key] = f
	first := c.st.flavorPages[keyFlavors]
	c.st.flavors = slices.Clone(first.F)
	for i := 1; i <= first.More; i++ {
		c.st.flavors = append(c.st.flavors, c.st.flavorPages[preFlavors+strconv.Itoa(i)].F...)
	}
}
