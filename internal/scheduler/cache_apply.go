package scheduler

import (
	"strings"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/ownership"
)

// apply stores a key's new value in the cache. A value whose revision is not newer than the
// cached one is ignored, because the watch, own commits and snapshots may deliver the same
// change.
func (c *Controller) apply(item domain.KeyValue) {
	if item.ModRevision <= c.cache.modRevisions[item.Key] {
		return
	}
	c.cache.modRevisions[item.Key] = item.ModRevision
	matters, err := c.applyValue(item)
	if err != nil {
		c.reportUnreadable(item.Key, err)
		return
	}
	if matters {
		c.planner.dirty = true
	}
}

// reportUnreadable logs a value that no version of this software writes.
func (c *Controller) reportUnreadable(key string, err error) {
	c.error("unreadable value", "key", key, "error", err.Error())
}

// applyValue updates the part of the cache that the key belongs to. It reports whether the value
// may affect what is to be committed next.
func (c *Controller) applyValue(item domain.KeyValue) (matters bool, err error) {
	kind, name := codec.ParseKey(item.Key)
	switch kind {
	case codec.KindView:
		return c.applyView(item.Value)
	case codec.KindMember:
		return c.cache.applyMember(name, item.Value)
	case codec.KindFormat:
		return c.applyFormat(name, item.Value)
	case codec.KindJob:
		return c.applyJob(name, item.Value)
	case codec.KindTasks:
		return c.applyTasks(item.Key, name, item.Value)
	case codec.KindPack:
		return c.applyPack(item.Key, name, item.Value)
	case codec.KindDependencies:
		c.applyDependencyPiece(item.Key, item.Value)
		return true, nil
	case codec.KindTeam:
		return c.cache.applyTeamShares(name, item.Value)
	case codec.KindCordons:
		return c.applyCordons(name, item.Value)
	case codec.KindMachineTypes:
		return c.applyMachineTypes(item.Key, item.Value)
	case codec.KindWindow:
		return c.cache.applyWindow(name, item.Value)
	}
	return true, nil
}

// decodeOrZero decodes a page. For a deleted page (nil) it returns the zero page: an empty page
// and a missing one mean the same.
func decodeOrZero[Page any](value []byte) (page Page, err error) {
	if value == nil {
		return page, nil
	}
	decoded, err := codec.Decode[Page](value)
	if err != nil {
		return page, err
	}
	return *decoded, nil
}

// applyView adopts the view. Its key is never deleted.
func (c *Controller) applyView(value []byte) (matters bool, err error) {
	if value == nil {
		return false, nil
	}
	view, err := codec.Decode[domain.View](value)
	if err != nil {
		return false, err
	}
	c.adoptView(view)
	return true, nil
}

// applyMember records a controller's incarnation. The key is deleted when the controller is no
// longer a member.
func (c *cache) applyMember(controller string, value []byte) (matters bool, err error) {
	if value == nil {
		delete(c.members, controller)
		return false, nil
	}
	incarnation, err := codec.Decode[string](value)
	if err != nil {
		return false, err
	}
	c.members[controller] = *incarnation
	return true, nil
}

// applyTeamShares records the controllers' shares of a team's limit.
func (c *cache) applyTeamShares(team string, value []byte) (matters bool, err error) {
	shares, err := decodeOrZero[codec.TeamShares](value)
	if err != nil {
		return false, err
	}
	c.shares[team] = shares
	return true, nil
}

// applyWindow records what a controller published of its last learning window.
func (c *cache) applyWindow(controller string, value []byte) (matters bool, err error) {
	if value == nil {
		return false, nil
	}
	window, err := codec.Decode[codec.WindowRecord](value)
	if err != nil {
		return false, err
	}
	c.windows[controller] = window
	return true, nil
}

// applyPack records the tasks of the jobs that are still in the pack. Entries of jobs that moved
// out of it are ignored.
func (c *Controller) applyPack(key, pack string, value []byte) (matters bool, err error) {
	if value == nil {
		return false, nil
	}
	chunk, err := codec.Decode[codec.ChunkValue](value)
	if err != nil {
		return false, err
	}
	c.cache.recordSize(key, len(value), c.cfg.ValueLimit)
	for id, text := range chunk.Texts {
		j := c.cache.jobs[id]
		if j == nil || j.Header.Spec == nil || j.Header.Pack != pack {
			continue
		}
		if err := c.applyText(j, 0, chunk, text); err != nil {
			return false, err
		}
	}
	return true, nil
}

// applyTasks records the tasks of a chunk or cell; path is the part of its key after the prefix.
func (c *Controller) applyTasks(key, path string, value []byte) (matters bool, err error) {
	if value == nil {
		delete(c.cache.valueSizes, key)
		delete(c.cache.oversized, key)
		return false, nil
	}
	parts := strings.Split(path, "/")
	j := c.cache.jobs[parts[0]]
	if j == nil || j.Header.Spec == nil {
		return false, nil
	}
	first, ok := j.Header.FirstTaskOf(parts[1:])
	if !ok || j.Header.ValueKey(j.ID, first) != key {
		return false, nil // the chunk was split since, or the header doesn't name the cell yet
	}
	chunk, err := codec.Decode[codec.ChunkValue](value)
	if err != nil {
		return false, err
	}
	c.cache.recordSize(key, len(value), c.cfg.ValueLimit)
	if err := c.applyText(j, first, chunk, chunk.Texts[j.ID]); err != nil {
		return false, err
	}
	return true, nil
}

// applyText records a job's tasks from their text in a value; first is the index of the first
// task in it. Tasks beyond the job's task count are ignored.
func (c *Controller) applyText(j *Job, first int, chunk *codec.ChunkValue, text string) error {
	return chunk.ForEachTask(text, func(offset int, task domain.Task) {
		if i := first + offset; i >= 0 && i < j.Header.TaskCount {
			c.setTask(j, i, task)
		}
	})
}

// applyCordons records the page of cordons that is named after a controller (cordonPageOf).
func (c *Controller) applyCordons(controller string, value []byte) (matters bool, err error) {
	page, err := decodeOrZero[codec.CordonPage](value)
	if err != nil {
		return false, err
	}
	cordons := cordonsOfPage(page)
	c.cache.removeDroppedCordons(c.cache.cordonPages[controller], cordons)
	for machine, cordon := range cordons {
		if c.cache.cordons[machine] != cordon {
			c.cache.cordons[machine] = cordon
			c.dequeueAll(machine)
		}
	}
	c.cache.cordonPages[controller] = page
	return true, nil
}

// cordonsOfPage returns the cordons on a page, by machine.
func cordonsOfPage(page codec.CordonPage) map[string]domain.Cordon {
	cordons := make(map[string]domain.Cordon, len(page.Draining)+len(page.Gone))
	for machine, reason := range page.Draining {
		cordons[machine] = domain.Cordon{State: domain.CordonDrain, Reason: reason}
	}
	for _, machine := range page.Gone {
		cordons[machine] = domain.Cordon{State: domain.CordonGone}
	}
	return cordons
}

// removeDroppedCordons removes the cordons that were on the old page and are not among the
// current ones. A page drops only the machines that have been gone longest (trimCordonPage).
func (c *cache) removeDroppedCordons(old codec.CordonPage, current map[string]domain.Cordon) {
	for machine := range old.Draining {
		if _, ok := current[machine]; !ok {
			delete(c.cordons, machine)
		}
	}
	for _, machine := range old.Gone {
		if _, ok := current[machine]; !ok {
			delete(c.cordons, machine)
		}
	}
}

// cordonPageOf returns the name of the page that a machine's cordon is on. It doesn't depend on
// the machine's owner.
func (c *Controller) cordonPageOf(machine string) string {
	return ownership.Rendezvous(machine, c.cfg.Controllers)
}
