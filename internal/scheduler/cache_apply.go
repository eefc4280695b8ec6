package scheduler

import (
	"strings"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/ownership"
)

// apply takes one key's newer value into the cache. Older or equal revisions are
// dropped: watch, own commits and snapshots may repeat each other.
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
	c.error("unreadable value", "key", key, "err", err.Error())
}

// applyValue takes a value into the part of the cache that its key belongs to. It tells
// whether the value may matter for what is to be committed next.
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

// decodeOrZero reads a value that means the same when it is deleted as when it is empty.
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

// applyView takes the view. It is never deleted.
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

// applyMember takes the incarnation of a controller; its key goes when the controller is a member no longer.
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

// applyTeamShares takes the controllers' shares of a team's limit.
func (c *cache) applyTeamShares(team string, value []byte) (matters bool, err error) {
	shares, err := decodeOrZero[codec.TeamShares](value)
	if err != nil {
		return false, err
	}
	c.shares[team] = shares
	return true, nil
}

// applyWindow takes a controller's record of the last window of the critic.
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

// applyPack takes the tasks of the jobs that are still in the pack: what it says of others,
// which moved, counts for nothing.
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

// applyTasks takes a chunk, or a cell of one; path is the rest of its key after the prefix.
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
	if !ok || j.Header.KeyOf(j.ID, first) != key {
		return false, nil // split into cells since, or cells that the header doesn't name yet
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

// applyText takes a job's tasks from their text in a value, which begins with the given task.
// Tasks that the job doesn't have are passed over.
func (c *Controller) applyText(j *Job, first int, chunk *codec.ChunkValue, text string) error {
	return chunk.Tasks(text, func(offset int, task domain.Task) {
		if i := first + offset; i >= 0 && i < j.Header.TaskCount {
			c.setTask(j, i, task)
		}
	})
}

// applyCordons takes the page of cordons that a controller's machines are on.
func (c *Controller) applyCordons(home string, value []byte) (matters bool, err error) {
	page, err := decodeOrZero[codec.CordonPage](value)
	if err != nil {
		return false, err
	}
	cordons := cordonsOfPage(page)
	c.cache.removeDroppedCordons(c.cache.cordonPages[home], cordons)
	for machine, cordon := range cordons {
		if c.cache.cordons[machine] != cordon {
			c.cache.cordons[machine] = cordon
			c.dequeueAll(machine)
		}
	}
	c.cache.cordonPages[home] = page
	return true, nil
}

// cordonsOfPage are the cordons of a page, by machine.
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

// removeDroppedCordons forgets the cordons that were on the old page and no longer are: they belong to
// machines gone for long.
func (c *cache) removeDroppedCordons(old codec.CordonPage, now map[string]domain.Cordon) {
	for machine := range old.Draining {
		if _, ok := now[machine]; !ok {
			delete(c.cordons, machine)
		}
	}
	for _, machine := range old.Gone {
		if _, ok := now[machine]; !ok {
			delete(c.cordons, machine)
		}
	}
}

// cordonPageOf is the page that a machine's cordon is on, whoever owns the machine.
func (c *Controller) cordonPageOf(machine string) string {
	return ownership.Rendezvous(machine, c.cfg.Controllers)
}
