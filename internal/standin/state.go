package standin

import (
	"sort"
	"strings"
	"time"

	"brassglade/internal/core"
)

type entry struct {
	v     []byte
	stamp uint64
	lease uint64
}

type lease struct {
	life time.Duration
	end  time.Duration
}

type watcher struct {
	since uint64
	reply func(any)
	node  string
}

// service is a state service: one map, one ledger, grants and watches.
type service struct {
	w        *World
	kv       map[string]entry
	ledger   uint64
	log      []core.KV
	leases   map[uint64]*lease
	next     uint64
	down     bool
	refuse   map[string]bool // nodes that alone get 503
	waiting  []watcher
	changes  int // puts and deletes asked for
	requests int
}

func newService(w *World) *service {
	s := &service{w: w, kv: map[string]entry{}, leases: map[uint64]*lease{}, refuse: map[string]bool{}}
	var sweep func()
	sweep = func() {
		s.expire()
		w.after(100*time.Millisecond, sweep)
	}
	w.after(0, sweep)
	return s
}

func (s *service) off(node string) bool {
	s.requests++
	return s.down || s.refuse[node]
}

func (s *service) outage(d time.Duration) {
	s.w.log("state service down for %v", d)
	s.down = true
	s.w.after(d, func() {
		s.down = false
		for _, l := range s.leases {
			l.end = s.w.Now + l.life
		}
		s.w.log("state service up")
		s.wake()
	})
}

func (s *service) expire() {
	if s.down {
		return
	}
	var ended []uint64
	for id, l := range s.leases {
		if s.w.Now > l.end {
			ended = append(ended, id)
		}
	}
	sort.Slice(ended, func(a, b int) bool { return ended[a] < ended[b] })
	for _, id := range ended {
		delete(s.leases, id)
		var ks []string
		for k, e := range s.kv {
			if e.lease == id {
				ks = append(ks, k)
			}
		}
		sort.Strings(ks)
		for _, k := range ks {
			s.ledger++
			delete(s.kv, k)
			s.log = append(s.log, core.KV{Key: k, Stamp: s.ledger})
		}
	}
	if len(ended) > 0 {
		s.wake()
	}
}

func (s *service) confirm(node string, e core.EfConfirm) any {
	if s.off(node) {
		return core.EvConfirm{}
	}
	return core.EvConfirm{OK: true, Same: s.kv[e.Key].stamp == e.Stamp, Ledger: s.ledger}
}

func (s *service) commit(node string, e core.EfCommit) any {
	if s.off(node) {
		return core.EvCommit{ID: e.ID, Result: core.Refused}
	}
	ev := core.EvCommit{ID: e.ID, Ledger: s.ledger}
	s.changes += len(e.T.Apply)
	if len(e.T.Apply) > s.w.set.TxnOps || len(e.T.When) > 4*s.w.set.TxnOps {
		s.w.broke("limit", "transaction of %d changes, %d conditions", len(e.T.Apply), len(e.T.When))
	}
	for _, a := range e.T.Apply {
		if len(a.Value) > s.w.set.ValueB {
			s.w.broke("limit", "%s has %d bytes", a.Key, len(a.Value))
		}
		if a.Permit != 0 && s.leases[a.Permit] == nil {
			ev.Result = core.Refused
			return ev
		}
	}
	for _, k := range e.T.When {
		if s.kv[k.Key].stamp != k.Stamp {
			ev.Result = core.Conflict
			ev.Failed = append(ev.Failed, k.Key)
		}
	}
	if ev.Result == core.Conflict {
		return ev
	}
	s.ledger++
	for _, a := range e.T.Apply {
		if a.Value == nil {
			delete(s.kv, a.Key)
		} else {
			s.kv[a.Key] = entry{a.Value, s.ledger, a.Permit}
		}
		s.log = append(s.log, core.KV{Key: a.Key, Value: a.Value, Stamp: s.ledger})
	}
	ev.Ledger = s.ledger
	s.wake()
	return ev
}

func (s *service) grant(node string, life time.Duration) any {
	if s.off(node) {
		return core.EvGrant{}
	}
	s.next++
	s.leases[s.next] = &lease{life, s.w.Now + life}
	return core.EvGrant{OK: true, Permit: s.next}
}

func (s *service) renew(node string, id uint64) any {
	if s.off(node) {
		return core.EvRenew{}
	}
	l := s.leases[id]
	if l == nil {
		return core.EvRenew{Gone: true}
	}
	l.end = s.w.Now + l.life
	return core.EvRenew{OK: true}
}

func (s *service) snapshot(node string) any {
	if s.off(node) {
		return nil
	}
	ev := core.EvSnapshot{Ledger: s.ledger}
	for k, e := range s.kv {
		if strings.HasPrefix(k, core.KeyRoot) {
			ev.Items = append(ev.Items, core.KV{Key: k, Value: e.v, Stamp: e.stamp})
		}
	}
	sort.Slice(ev.Items, func(a, b int) bool { return ev.Items[a].Key < ev.Items[b].Key })
	return ev
}

func (s *service) watch(node string, since uint64, reply func(any)) {
	if s.off(node) {
		reply(nil)
		return
	}
	s.waiting = append(s.waiting, watcher{since, reply, node})
	s.wake()
}

func (s *service) wake() {
	if s.down {
		return
	}
	var keep []watcher
	for _, x := range s.waiting {
		if s.ledger <= x.since || s.refuse[x.node] {
			keep = append(keep, x)
			continue
		}
		ev := core.EvWatch{Ledger: s.ledger}
		from := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > x.since })
		ev.Items = append(ev.Items, s.log[from:]...)
		x.reply(ev)
	}
	s.waiting = keep
}
