package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// Keys that the state service and the checker use. They repeat constants of package codec, so that
// tests fail if those change.
const (
	formatKey = "b/format" // its presence means that all controllers know the new format
	viewKey   = "b/view"   // the epoch, the leader and the serving members
)

// stateEntry is a value with the revision that wrote it and the lease that it is attached to.
type stateEntry struct {
	value       []byte
	modRevision uint64
	leaseID     uint64 // 0: none
}

// stateLease is a lease. The entries attached to it are deleted when it expires.
type stateLease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// stateWatcher is a pending watch request for the changes after a revision.
type stateWatcher struct {
	revision uint64
	reply    func(any)
	process  string
}

// stateService simulates a consensus-backed key-value store as its clients see it: one map with
// revisions, compare-and-swap transactions, leases and watches.
type stateService struct {
	cluster   *Cluster
	entries   map[string]stateEntry
	revision  uint64
	history   []domain.KeyValue // all changes in order
	leases    map[uint64]*stateLease
	lastLease uint64
	watchers  []stateWatcher

	isDown  bool
	refused map[string]bool // controllers whose requests are rejected, by name

	valueLimit       int // limits in effect: bytes per value and changes per transaction
	transactionLimit int
	limitsLowered    bool

	changes           int // number of puts and deletes requested
	requests          int
	refusedAsTooLarge int // number of transactions refused because they exceed the limits
}

func newStateService(c *Cluster) *stateService {
	s := &stateService{
		cluster:          c,
		valueLimit:       max(c.settings.ValueLimit, c.settings.CurrentValueLimit),
		transactionLimit: max(c.settings.TransactionLimit, c.initialTransactionLimit),
		entries:          map[string]stateEntry{},
		leases:           map[uint64]*stateLease{},
		refused:          map[string]bool{},
	}
	var sweep func()
	sweep = func() {
		s.expireLeases()
		c.after(100*time.Millisecond, sweep)
	}
	c.after(0, sweep)
	return s
}

// rejectsRequest counts a request and reports whether its sender gets no valid response.
func (s *stateService) rejectsRequest(process string) bool {
	s.requests++
	return s.isDown || s.refused[process]
}

// outage takes the service down for a duration. At its end all leases are renewed.
func (s *stateService) outage(duration time.Duration) {
	c := s.cluster
	c.log("state service down for %v", duration)
	for _, id := range c.jobIDs() {
		if job := c.jobs[id]; job.cancelReportedAt >= 0 && c.tasksOnMachines(id) > 0 {
			c.occurred("outage while cancelled tasks are on")
		}
	}
	s.isDown = true
	c.after(duration, func() {
		s.isDown = false
		for _, lease := range s.leases {
			lease.expiresAt = c.Now + lease.ttl
		}
		c.log("state service up")
		s.notifyWatchers()
	})
}

// refuse rejects the requests of one controller for a duration.
func (s *stateService) refuse(process string, duration time.Duration) {
	s.cluster.log("state service refuses %s", process)
	s.refused[process] = true
	s.cluster.after(duration, func() {
		delete(s.refused, process)
		s.notifyWatchers()
	})
}

// lowerLimits sets lower limits without informing the controllers.
func (s *stateService) lowerLimits(valueLimit, transactionLimit int) {
	s.cluster.log("limits fall to %d bytes a value and %d changes", valueLimit, transactionLimit)
	s.valueLimit, s.transactionLimit, s.limitsLowered = valueLimit, transactionLimit, true
}

// expireLeases deletes the leases that were not renewed in time, and the entries attached to them.
func (s *stateService) expireLeases() {
	if s.isDown {
		return
	}
	var expired []uint64
	for id, lease := range s.leases {
		if s.cluster.Now > lease.expiresAt {
			expired = append(expired, id)
		}
	}
	sort.Slice(expired, func(a, b int) bool { return expired[a] < expired[b] })
	for _, id := range expired {
		delete(s.leases, id)
		s.deleteLeaseKeys(id)
	}
	if len(expired) > 0 {
		s.notifyWatchers()
	}
}

func (s *stateService) deleteLeaseKeys(id uint64) {
	var keys []string
	for key, e := range s.entries {
		if e.leaseID == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.revision++
		delete(s.entries, key)
		s.history = append(s.history, domain.KeyValue{Key: key, ModRevision: s.revision})
	}
}

// confirm returns the response to a request that asks whether a key still has the given revision.
func (s *stateService) confirm(process string, e scheduler.ConfirmView) any {
	if s.rejectsRequest(process) {
		return scheduler.ConfirmationAnswered{}
	}
	return scheduler.ConfirmationAnswered{OK: true, Same: s.entries[e.Key].modRevision == e.ModRevision, Revision: s.revision}
}

// commitWithFaults executes a transaction, subject to two faults: "late" executes it 2 to 12 s
// later without a response, so that newer ones of the same controller may come first; "lost"
// executes it now, but loses the response.
func (s *stateService) commitWithFaults(p *controllerProcess, e scheduler.Commit, reply func(any)) {
	c := s.cluster
	switch {
	case c.shouldInject("late") || c.shouldInject("late "+p.name):
		c.after(2*time.Second+time.Duration(c.rng.Int64N(int64(10*time.Second))), func() {
			answered := s.commit(p.name, e)
			c.occurred("late transaction")
			if answered.Result == domain.Committed {
				c.occurred("late transaction that changed something")
			}
		})
	case c.shouldInject("lost") || c.shouldInject("lost "+p.name):
		s.commit(p.name, e)
		c.occurred("answer lost")
	default:
		c.replyWithDelay(reply, s.commit(p.name, e))
	}
}

// commit executes a transaction if the service accepts it and its conditions hold.
func (s *stateService) commit(process string, e scheduler.Commit) scheduler.CommitAnswered {
	if s.rejectsRequest(process) {
		return scheduler.CommitAnswered{ID: e.ID, Result: domain.Refused}
	}
	malformed := scheduler.CommitAnswered{ID: e.ID, Revision: s.revision, Result: domain.Refused, Malformed: true}
	s.changes += len(e.Transaction.Puts)
	if excess := s.excess(&e); excess != "" {
		// Controllers know the initial limits and must respect them. They learn of lower limits
		// only by a refusal.
		if !s.limitsLowered {
			s.cluster.violated(ruleLimit, "%s", excess)
		}
		s.refusedAsTooLarge++
		return malformed
	}
	for _, put := range e.Transaction.Puts {
		s.checkReadableByPrevious(put)
		if put.LeaseID != 0 && s.leases[put.LeaseID] == nil {
			return malformed
		}
	}
	answered := scheduler.CommitAnswered{ID: e.ID, Revision: s.revision}
	for _, condition := range e.Transaction.Conditions {
		if s.entries[condition.Key].modRevision != condition.ModRevision {
			answered.Result = domain.Conflict
			answered.Failed = append(answered.Failed, condition.Key)
		}
	}
	if answered.Result == domain.Conflict {
		return answered
	}
	s.apply(e.Transaction.Puts)
	answered.Revision = s.revision
	s.notifyWatchers()
	return answered
}

// excess describes how a transaction exceeds the limits; "": it doesn't.
func (s *stateService) excess(e *scheduler.Commit) string {
	puts, conditions := e.Transaction.Puts, e.Transaction.Conditions
	excess := ""
	if len(puts) > s.transactionLimit || len(conditions) > 4*s.transactionLimit {
		excess = fmt.Sprintf("transaction of %d changes, %d conditions", len(puts), len(conditions))
	}
	for _, put := range puts {
		if len(put.Value) > s.valueLimit {
			excess = fmt.Sprintf("%s has %d bytes", put.Key, len(put.Value))
		}
	}
	return excess
}

// apply applies the changes of a transaction as one revision.
func (s *stateService) apply(puts []domain.Put) {
	s.revision++
	for _, put := range puts {
		if put.Value == nil {
			delete(s.entries, put.Key)
		} else {
			s.entries[put.Key] = stateEntry{put.Value, s.revision, put.LeaseID}
		}
		s.history = append(s.history, domain.KeyValue{Key: put.Key, Value: put.Value, ModRevision: s.revision})
		if put.Key == viewKey {
			s.cluster.trackLeader(put.Value)
		}
	}
}

// read returns the response to a read of some keys. Keys without a value are left out.
func (s *stateService) read(process string, e scheduler.ReadKeys) any {
	if s.rejectsRequest(process) {
		return scheduler.KeysRead{ID: e.ID}
	}
	read := scheduler.KeysRead{ID: e.ID, OK: true}
	for _, key := range e.Keys {
		if x, ok := s.entries[key]; ok {
			read.Items = append(read.Items, domain.KeyValue{Key: key, Value: x.value, ModRevision: x.modRevision})
		}
	}
	return read
}

// grant creates a lease and returns the response.
func (s *stateService) grant(process string, ttl time.Duration) any {
	if s.rejectsRequest(process) {
		return scheduler.LeaseAnswered{}
	}
	s.lastLease++
	s.leases[s.lastLease] = &stateLease{ttl, s.cluster.Now + ttl}
	return scheduler.LeaseAnswered{OK: true, LeaseID: s.lastLease}
}

// renew extends a lease by its TTL from now and returns the response.
func (s *stateService) renew(process string, id uint64) any {
	if s.rejectsRequest(process) {
		return scheduler.LeaseRenewalAnswered{}
	}
	lease := s.leases[id]
	if lease == nil {
		return scheduler.LeaseRenewalAnswered{Gone: true}
	}
	lease.expiresAt = s.cluster.Now + lease.ttl
	return scheduler.LeaseRenewalAnswered{OK: true}
}

// snapshot returns all values as the requesting process understands them; nil: no response.
func (s *stateService) snapshot(process string) any {
	if s.rejectsRequest(process) {
		return nil
	}
	var items []domain.KeyValue
	for key, e := range s.entries {
		if strings.HasPrefix(key, codec.Root) {
			items = append(items, domain.KeyValue{Key: key, Value: e.value, ModRevision: e.modRevision})
		}
	}
	items = s.visibleTo(process, items)
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	loaded := scheduler.SnapshotLoaded{Revision: s.revision}
	for _, item := range items {
		loaded.AddItem(item)
	}
	return loaded
}

// watch responds as soon as there are changes after a revision.
func (s *stateService) watch(process string, revision uint64, reply func(any)) {
	if s.rejectsRequest(process) {
		reply(nil)
		return
	}
	s.watchers = append(s.watchers, stateWatcher{revision, reply, process})
	s.notifyWatchers()
}

// notifyWatchers responds to all watchers for which there are changes.
func (s *stateService) notifyWatchers() {
	if s.isDown {
		return
	}
	var waiting []stateWatcher
	for _, watcher := range s.watchers {
		if s.revision <= watcher.revision || s.refused[watcher.process] {
			waiting = append(waiting, watcher)
			continue
		}
		advanced := scheduler.WatchAdvanced{Revision: s.revision}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision > watcher.revision })
		advanced.Items = s.visibleTo(watcher.process, s.history[from:])
		watcher.reply(advanced)
	}
	s.watchers = waiting
}

// visibleTo returns changes as a controller understands them: one of the previous version loses
// fields and ignores values that it doesn't know.
func (s *stateService) visibleTo(process string, changes []domain.KeyValue) []domain.KeyValue {
	p := s.cluster.process(process)
	if p == nil || !p.isPreviousVersion {
		return append([]domain.KeyValue(nil), changes...)
	}
	var seen []domain.KeyValue
	for _, change := range changes {
		if change.Value != nil {
			reading := asPreviousVersion(change.Key, change.Value)
			if !reading.ok {
				continue
			}
			change.Value = reading.value
		}
		seen = append(seen, change)
	}
	return seen
}
