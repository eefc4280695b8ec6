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
	value       []byte
	modRevision uint64
	leaseID     uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

type watcher struct {
	revision uint64
	reply    func(any)
	process  string
}

// service is a state service: one map, one ledger, grants and watches.
type stateService struct {
	cluster           *Cluster
	entries           map[string]entry
	revision          uint64
	history           []domain.KeyValue
	leases            map[uint64]*lease
	lastLease         uint64
	isDown            bool
	refused           map[string]bool // nodes that alone get 503
	watchers          []watcher
	changes           int // puts and deletes asked for
	requests          int
	valueLimit        int // limits in force
	transactionLimit  int
	refusedAsTooLarge int // transactions refused for them since they fell
	limitsFell        bool
}

func newStateService(c *Cluster) *stateService {
	s := &stateService{cluster: c, valueLimit: max(c.settings.ValueLimit, c.settings.ValueLimitNow), transactionLimit: max(c.settings.TransactionLimit, c.initialTransactionLimit), entries: map[string]entry{}, leases: map[uint64]*lease{}, refused: map[string]bool{}}
	var sweep func()
	sweep = func() {
		s.expireLeases()
		c.after(100*time.Millisecond, sweep)
	}
	c.after(0, sweep)
	return s
}

func (s *stateService) isOffFor(node string) bool {
	s.requests++
	return s.isDown || s.refused[node]
}

func (s *stateService) outage(d time.Duration) {
	s.cluster.log("state service down for %v", d)
	for _, id := range s.cluster.jobIDs() {
		if job := s.cluster.jobs[id]; job.cancelToldAt >= 0 && s.cluster.onMachines(id) > 0 {
			s.cluster.occurred("outage while cancelled tasks are on")
		}
	}
	s.isDown = true
	s.cluster.after(d, func() {
		s.isDown = false
		for _, l := range s.leases {
			l.expiresAt = s.cluster.Now + l.ttl
		}
		s.cluster.log("state service up")
		s.answerWatches()
	})
}

func (s *stateService) expireLeases() {
	if s.isDown {
		return
	}
	var ended []uint64
	for id, l := range s.leases {
		if s.cluster.Now > l.expiresAt {
			ended = append(ended, id)
		}
	}
	sort.Slice(ended, func(a, b int) bool { return ended[a] < ended[b] })
	for _, id := range ended {
		delete(s.leases, id)
		var ks []string
		for k, e := range s.entries {
			if e.leaseID == id {
				ks = append(ks, k)
			}
		}
		sort.Strings(ks)
		for _, k := range ks {
			s.revision++
			delete(s.entries, k)
			s.history = append(s.history, domain.KeyValue{Key: k, ModRevision: s.revision})
		}
	}
	if len(ended) > 0 {
		s.answerWatches()
	}
}

func (s *stateService) confirm(node string, e scheduler.ConfirmView) any {
	if s.isOffFor(node) {
		return scheduler.ConfirmationAnswered{}
	}
	return scheduler.ConfirmationAnswered{OK: true, Same: s.entries[e.Key].modRevision == e.ModRevision, Revision: s.revision}
}

// perform carries a transaction out, unless a trouble strikes: late, after newer
// ones of the same node, or at once with only the answer lost.
func (s *stateService) commitAmidTroubles(p *controllerProcess, x scheduler.Commit, reply func(any)) {
	c := s.cluster
	switch {
	case c.strikes("late") || c.strikes("late "+p.name):
		c.after(2*time.Second+time.Duration(c.rng.Int64N(int64(10*time.Second))), func() {
			ev, _ := s.commit(p.name, x).(scheduler.CommitAnswered)
			c.occurred("late transaction")
			if ev.Result == domain.Committed {
				c.occurred("late transaction that changed something")
			}
		})
	case c.strikes("lost") || c.strikes("lost "+p.name):
		s.commit(p.name, x)
		c.occurred("answer lost")
	default:
		c.answerSlowly(reply, s.commit(p.name, x))
	}
}

// slowly answers, later than usual while the state service is slow.
func (c *Cluster) answerSlowly(reply func(any), v any) {
	if x := c.troubles["slow"]; c.Now < x.until {
		c.occurred("slow answer")
		c.after(time.Duration(c.rng.Int64N(int64(x.delay))), func() { reply(v) })
		return
	}
	reply(v)
}

func (s *stateService) commit(node string, e scheduler.Commit) any {
	if s.isOffFor(node) {
		return scheduler.CommitAnswered{ID: e.ID, Result: domain.Refused}
	}
	ev := scheduler.CommitAnswered{ID: e.ID, Revision: s.revision}
	s.changes += len(e.Transaction.Puts)
	over := ""
	if len(e.Transaction.Puts) > s.transactionLimit || len(e.Transaction.Conditions) > 4*s.transactionLimit {
		over = fmt.Sprintf("transaction of %d changes, %d conditions", len(e.Transaction.Puts), len(e.Transaction.Conditions))
	}
	for _, a := range e.Transaction.Puts {
		if len(a.Value) > s.valueLimit {
			over = fmt.Sprintf("%s has %d bytes", a.Key, len(a.Value))
		}
	}
	if over != "" {
		// Values that are larger are known to all; that the limit fell shows only
		// by the refusal.
		if !s.limitsFell {
			s.cluster.violated("limit", "%s", over)
		}
		s.refusedAsTooLarge++
		ev.Result, ev.Malformed = domain.Refused, true
		return ev
	}
	for _, a := range e.Transaction.Puts {
		if _, on := s.entries["b/format"]; !on && a.Value != nil && !strings.HasPrefix(a.Key, "b/format") {
			if _, whole, _ := asPreviousVersion(a.Key, a.Value); !whole {
				s.cluster.violated("misread", "%s: %s", a.Key, a.Value)
			}
		}
		if a.LeaseID != 0 && s.leases[a.LeaseID] == nil {
			ev.Result, ev.Malformed = domain.Refused, true
			return ev
		}
	}
	for _, k := range e.Transaction.Conditions {
		if s.entries[k.Key].modRevision != k.ModRevision {
			ev.Result = domain.Conflict
			ev.Failed = append(ev.Failed, k.Key)
		}
	}
	if ev.Result == domain.Conflict {
		return ev
	}
	s.revision++
	for _, a := range e.Transaction.Puts {
		if a.Value == nil {
			delete(s.entries, a.Key)
		} else {
			s.entries[a.Key] = entry{a.Value, s.revision, a.LeaseID}
		}
		s.history = append(s.history, domain.KeyValue{Key: a.Key, Value: a.Value, ModRevision: s.revision})
		if a.Key == "b/view" {
			s.cluster.noticeLeader(a.Value)
		}
	}
	ev.Revision = s.revision
	s.answerWatches()
	return ev
}

func (s *stateService) read(node string, e scheduler.ReadKeys) any {
	if s.isOffFor(node) {
		return scheduler.KeysRead{ID: e.ID}
	}
	ev := scheduler.KeysRead{ID: e.ID, OK: true}
	for _, k := range e.Keys {
		if x, ok := s.entries[k]; ok {
			ev.Items = append(ev.Items, domain.KeyValue{Key: k, Value: x.value, ModRevision: x.modRevision})
		}
	}
	return ev
}

func (s *stateService) grant(node string, life time.Duration) any {
	if s.isOffFor(node) {
		return scheduler.LeaseGranted{}
	}
	s.lastLease++
	s.leases[s.lastLease] = &lease{life, s.cluster.Now + life}
	return scheduler.LeaseGranted{OK: true, LeaseID: s.lastLease}
}

func (s *stateService) renew(node string, id uint64) any {
	if s.isOffFor(node) {
		return scheduler.LeaseRenewalAnswered{}
	}
	l := s.leases[id]
	if l == nil {
		return scheduler.LeaseRenewalAnswered{Gone: true}
	}
	l.expiresAt = s.cluster.Now + l.ttl
	return scheduler.LeaseRenewalAnswered{OK: true}
}

func (s *stateService) snapshot(node string) any {
	if s.isOffFor(node) {
		return nil
	}
	ev := scheduler.SnapshotLoaded{Revision: s.revision}
	for k, e := range s.entries {
		if strings.HasPrefix(k, codec.Root) {
			ev.Items = append(ev.Items, domain.KeyValue{Key: k, Value: e.value, ModRevision: e.modRevision})
		}
	}
	ev.Items = s.seenBy(node, ev.Items)
	sort.Slice(ev.Items, func(a, b int) bool { return ev.Items[a].Key < ev.Items[b].Key })
	return ev
}

func (s *stateService) watch(node string, since uint64, reply func(any)) {
	if s.isOffFor(node) {
		reply(nil)
		return
	}
	s.watchers = append(s.watchers, watcher{since, reply, node})
	s.answerWatches()
}

func (s *stateService) answerWatches() {
	if s.isDown {
		return
	}
	var keep []watcher
	for _, x := range s.watchers {
		if s.revision <= x.revision || s.refused[x.process] {
			keep = append(keep, x)
			continue
		}
		ev := scheduler.WatchAdvanced{Revision: s.revision}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision > x.revision })
		ev.Items = s.seenBy(x.process, s.history[from:])
		x.reply(ev)
	}
	s.watchers = keep
}

// seenBy is what a node makes of changes: one of the version before drops what it
// doesn't know.
func (s *stateService) seenBy(node string, l []domain.KeyValue) []domain.KeyValue {
	p := s.cluster.process(node)
	if p == nil || !p.isPreviousVersion {
		return append([]domain.KeyValue(nil), l...)
	}
	var r []domain.KeyValue
	for _, kv := range l {
		if kv.Value != nil {
			v, _, ok := asPreviousVersion(kv.Key, kv.Value)
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
func (s *stateService) lowerLimits(valueB, txnOps int) {
	s.cluster.log("limits fall to %d bytes a value and %d changes", valueB, txnOps)
	s.valueLimit, s.transactionLimit, s.limitsFell = valueB, txnOps, true
}
