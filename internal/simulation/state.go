package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"brassglade/internal/scheduler"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
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
	w          *Cluster
	kv         map[string]entry
	ledger     uint64
	log        []domain.KeyValue
	leases     map[uint64]*lease
	next       uint64
	down       bool
	refuse     map[string]bool // nodes that alone get 503
	waiting    []watcher
	changes    int // puts and deletes asked for
	requests   int
	valueB     int // limits in force
	txnOps     int
	tooLarge   int // transactions refused for them since they fell
	limitsFell bool
}

func newService(w *Cluster) *service {
	s := &service{w: w, valueB: max(w.set.ValueLimit, w.set.ValueLimitNow), txnOps: max(w.set.TransactionLimit, w.opsNow), kv: map[string]entry{}, leases: map[uint64]*lease{}, refuse: map[string]bool{}}
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
	for _, id := range s.w.ids() {
		if t := s.w.jobs[id]; t.cancelAt >= 0 && s.w.onMachines(id) > 0 {
			s.w.came("outage while cancelled tasks are on")
		}
	}
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
			s.log = append(s.log, domain.KeyValue{Key: k, ModRevision: s.ledger})
		}
	}
	if len(ended) > 0 {
		s.wake()
	}
}

func (s *service) confirm(node string, e scheduler.ConfirmView) any {
	if s.off(node) {
		return scheduler.ConfirmationAnswered{}
	}
	return scheduler.ConfirmationAnswered{OK: true, Same: s.kv[e.Key].stamp == e.ModRevision, Revision: s.ledger}
}

// perform carries a transaction out, unless a trouble strikes: late, after newer
// ones of the same node, or at once with only the answer lost.
func (s *service) perform(n *node, x scheduler.Commit, reply func(any)) {
	w := s.w
	switch {
	case w.strikes("late") || w.strikes("late "+n.name):
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() {
			ev, _ := s.commit(n.name, x).(scheduler.CommitAnswered)
			w.came("late transaction")
			if ev.Result == domain.Committed {
				w.came("late transaction that changed something")
			}
		})
	case w.strikes("lost") || w.strikes("lost "+n.name):
		s.commit(n.name, x)
		w.came("answer lost")
	default:
		w.slowly(reply, s.commit(n.name, x))
	}
}

// slowly answers, later than usual while the state service is slow.
func (w *Cluster) slowly(reply func(any), v any) {
	if x := w.spell["slow"]; w.Now < x.till {
		w.came("slow answer")
		w.after(time.Duration(w.rng.Int64N(int64(x.by))), func() { reply(v) })
		return
	}
	reply(v)
}

func (s *service) commit(node string, e scheduler.Commit) any {
	if s.off(node) {
		return scheduler.CommitAnswered{ID: e.ID, Result: domain.Refused}
	}
	ev := scheduler.CommitAnswered{ID: e.ID, Revision: s.ledger}
	s.changes += len(e.Transaction.Puts)
	over := ""
	if len(e.Transaction.Puts) > s.txnOps || len(e.Transaction.Conditions) > 4*s.txnOps {
		over = fmt.Sprintf("transaction of %d changes, %d conditions", len(e.Transaction.Puts), len(e.Transaction.Conditions))
	}
	for _, a := range e.Transaction.Puts {
		if len(a.Value) > s.valueB {
			over = fmt.Sprintf("%s has %d bytes", a.Key, len(a.Value))
		}
	}
	if over != "" {
		// Values that are larger are known to all; that the limit fell shows only
		// by the refusal.
		if !s.limitsFell {
			s.w.broke("limit", "%s", over)
		}
		s.tooLarge++
		ev.Result, ev.Malformed = domain.Refused, true
		return ev
	}
	for _, a := range e.Transaction.Puts {
		if _, on := s.kv["b/format"]; !on && a.Value != nil && !strings.HasPrefix(a.Key, "b/format") {
			if _, whole, _ := asBefore(a.Key, a.Value); !whole {
				s.w.broke("misread", "%s: %s", a.Key, a.Value)
			}
		}
		if a.LeaseID != 0 && s.leases[a.LeaseID] == nil {
			ev.Result, ev.Malformed = domain.Refused, true
			return ev
		}
	}
	for _, k := range e.Transaction.Conditions {
		if s.kv[k.Key].stamp != k.ModRevision {
			ev.Result = domain.Conflict
			ev.Failed = append(ev.Failed, k.Key)
		}
	}
	if ev.Result == domain.Conflict {
		return ev
	}
	s.ledger++
	for _, a := range e.Transaction.Puts {
		if a.Value == nil {
			delete(s.kv, a.Key)
		} else {
			s.kv[a.Key] = entry{a.Value, s.ledger, a.LeaseID}
		}
		s.log = append(s.log, domain.KeyValue{Key: a.Key, Value: a.Value, ModRevision: s.ledger})
		if a.Key == "b/view" {
			s.w.newView(a.Value)
		}
	}
	ev.Revision = s.ledger
	s.wake()
	return ev
}

func (s *service) read(node string, e scheduler.ReadKeys) any {
	if s.off(node) {
		return scheduler.KeysRead{ID: e.ID}
	}
	ev := scheduler.KeysRead{ID: e.ID, OK: true}
	for _, k := range e.Keys {
		if x, ok := s.kv[k]; ok {
			ev.Items = append(ev.Items, domain.KeyValue{Key: k, Value: x.v, ModRevision: x.stamp})
		}
	}
	return ev
}

func (s *service) grant(node string, life time.Duration) any {
	if s.off(node) {
		return scheduler.LeaseGranted{}
	}
	s.next++
	s.leases[s.next] = &lease{life, s.w.Now + life}
	return scheduler.LeaseGranted{OK: true, LeaseID: s.next}
}

func (s *service) renew(node string, id uint64) any {
	if s.off(node) {
		return scheduler.LeaseRenewalAnswered{}
	}
	l := s.leases[id]
	if l == nil {
		return scheduler.LeaseRenewalAnswered{Gone: true}
	}
	l.end = s.w.Now + l.life
	return scheduler.LeaseRenewalAnswered{OK: true}
}

func (s *service) snapshot(node string) any {
	if s.off(node) {
		return nil
	}
	ev := scheduler.SnapshotLoaded{Revision: s.ledger}
	for k, e := range s.kv {
		if strings.HasPrefix(k, codec.Root) {
			ev.Items = append(ev.Items, domain.KeyValue{Key: k, Value: e.v, ModRevision: e.stamp})
		}
	}
	ev.Items = s.seenBy(node, ev.Items)
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
		ev := scheduler.WatchAdvanced{Revision: s.ledger}
		from := sort.Search(len(s.log), func(i int) bool { return s.log[i].ModRevision > x.since })
		ev.Items = s.seenBy(x.node, s.log[from:])
		x.reply(ev)
	}
	s.waiting = keep
}

// seenBy is what a node makes of changes: one of the version before drops what it
// doesn't know.
func (s *service) seenBy(node string, l []domain.KeyValue) []domain.KeyValue {
	n := s.w.node(node)
	if n == nil || !n.old {
		return append([]domain.KeyValue(nil), l...)
	}
	var r []domain.KeyValue
	for _, kv := range l {
		if kv.Value != nil {
			v, _, ok := asBefore(kv.Key, kv.Value)
			if !ok {
				continue
			}
			kv.Value = v
		}
		r = append(r, kv)
	}
	return r
}

// lower lowers the limits, without notice.
func (s *service) lower(valueB, txnOps int) {
	s.w.log("limits fall to %d bytes a value and %d changes", valueB, txnOps)
	s.valueB, s.txnOps, s.limitsFell = valueB, txnOps, true
}
