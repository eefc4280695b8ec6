package scheduler

import (
	"sort"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// loadSnapshot replaces the cache by items read page by page since a revision; the
// watch from that revision on repairs what changed while reading.
func (c *Controller) loadSnapshot(snapshot SnapshotLoaded) {
	c.dropMissingMembers(snapshot)
	// A chunk needs its header first, and the view comes last: whoever sees epoch e
	// has every change that was conditional on an earlier one.
	sort.Slice(snapshot.Items, func(a, b int) bool {
		return loadOrder(snapshot.Items[a].Key) < loadOrder(snapshot.Items[b].Key)
	})
	c.cache.loadingSnapshot = true
	for _, item := range snapshot.Items {
		// The pages are read one after the other. What changed after the first
		// comes with the watch, in order: a chunk taken now without its header
		// would be dropped, and its revision then hide it for good.
		if item.ModRevision <= snapshot.Revision || !c.isGuardEnabled(GuardSnapshot) {
			c.apply(item)
		}
	}
	c.cache.loadingSnapshot = false
	c.cache.revision = max(c.cache.revision, snapshot.Revision)
	c.membership.CacheLoaded()
}

// dropMissingMembers forgets the members that a snapshot doesn't have. Only their keys are ever
// deleted while they matter; chunks go with the final header.
func (c *Controller) dropMissingMembers(snapshot SnapshotLoaded) {
	isThere := map[string]bool{}
	for _, item := range snapshot.Items {
		isThere[item.Key] = true
	}
	for controller := range c.cache.members {
		key := codec.PrefixMember + controller
		if !isThere[key] {
			c.apply(domain.KeyValue{Key: key, ModRevision: max(snapshot.Revision, c.cache.modRevisions[key])})
		}
	}
}

// loadOrder is the place of a key among the items of a snapshot; keys with the same number may
// come in any order.
func loadOrder(key string) int {
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
