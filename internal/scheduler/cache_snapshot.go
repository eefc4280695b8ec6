package scheduler

import (
	"sort"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// loadSnapshot loads a snapshot, which was read page by page, into the cache. The watch, which
// continues from the snapshot's revision, delivers what changed while the pages were read.
func (c *Controller) loadSnapshot(snapshot SnapshotLoaded) {
	c.dropMissingMembers(snapshot)
	// A chunk is applied after its header. The view is applied last: a controller that sees epoch
	// e must have every change that was conditional on an earlier epoch.
	sort.Slice(snapshot.Items, func(a, b int) bool {
		return snapshotOrder(snapshot.Items[a].Key) < snapshotOrder(snapshot.Items[b].Key)
	})
	c.cache.loadingSnapshot = true
	c.applyOutcomes(snapshot) // first, since open jobs may depend on them
	for _, item := range snapshot.Items {
		// The pages are read one after another. What changed after the first page was read comes
		// with the watch, in order. If a chunk that changed since were applied here without its
		// header, it would be dropped, and because its revision is recorded, apply would ignore it
		// when the watch delivers it.
		if item.ModRevision <= snapshot.Revision || !c.isGuardEnabled(GuardSnapshot) {
			c.apply(item)
		}
	}
	c.cache.loadingSnapshot = false
	c.cache.revision = max(c.cache.revision, snapshot.Revision)
	c.membership.CacheLoaded()
}

// dropMissingMembers removes the members whose keys a snapshot lacks. Other keys need no such
// check: member keys are the only ones whose deletion matters, and a job's chunks are deleted
// with its final header.
func (c *Controller) dropMissingMembers(snapshot SnapshotLoaded) {
	present := map[string]bool{}
	for _, item := range snapshot.Items {
		present[item.Key] = true
	}
	for controller := range c.cache.members {
		key := codec.PrefixMember + controller
		if !present[key] {
			c.apply(domain.KeyValue{Key: key, ModRevision: max(snapshot.Revision, c.cache.modRevisions[key])})
		}
	}
}

// snapshotOrder returns the rank by which the items of a snapshot are applied, the lowest first;
// keys of one rank may be applied in any order.
func snapshotOrder(key string) int {
	switch kind, _ := codec.ParseKey(key); kind {
	case codec.KindView:
		return 3
	case codec.KindTasks, codec.KindPack:
		return 2
	case codec.KindMember:
		return 1
	}
	return 0
}
