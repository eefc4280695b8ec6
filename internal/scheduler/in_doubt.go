package scheduler

import (
	"strings"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// A task commit without a response may be carried out late, after newer ones of this controller.
// Until its outcome is known, every later task commit writes one of that commit's values again,
// on condition that the value hasn't changed. So at most one of all these commits is ever carried
// out, and no two of them together can book more than this controller's share of a team's limit,
// or more than a machine holds.

// inDoubtCommit identifies the value by which later task commits exclude a commit whose outcome
// is unknown.
type inDoubtCommit struct {
	key         string // "": no commit is in doubt
	modRevision uint64 // revision of the value on which the commit was conditional
}

// isOutcomeKnown reports whether the value's revision is no longer the one on which the commit was
// conditional. The commit was then carried out, or it never will be, since its condition fails.
func (v inDoubtCommit) isOutcomeKnown(modRevisions map[string]uint64) bool {
	return modRevisions[v.key] != v.modRevision
}

// markInDoubt records a task commit that got no response, and chooses the value by which later
// task commits exclude it. modRevisions are the revisions of the cached values, by key.
func (s *commits) markInDoubt(lost domain.Transaction, modRevisions map[string]uint64) {
	if s.inDoubt.key != "" {
		return // this commit writes the value of the first one in doubt as well, so the value excludes both
	}
	found := map[string]uint64{}
	for _, condition := range lost.Conditions {
		found[condition.Key] = condition.ModRevision
		if modRevisions[condition.Key] != condition.ModRevision {
			return // it was carried out, or never will be
		}
	}
	best := notExcludable
	for _, put := range lost.Puts {
		if rank := exclusionRank(put.Key); rank < best {
			best = rank
			s.inDoubt = inDoubtCommit{key: put.Key, modRevision: found[put.Key]}
		}
	}
}

// notExcludable is the rank of values that can't be written again unchanged.
const notExcludable = 4

// exclusionRank ranks values by how well they serve to exclude a commit, the best first: packs,
// then chunks, cells and headers, then teams' shares, which all controllers change.
func exclusionRank(key string) int {
	switch kind, _ := codec.ParseKey(key); kind {
	case codec.KindPack:
		return 1
	case codec.KindTasks, codec.KindJob:
		return 2
	case codec.KindTeam:
		return 3
	}
	return notExcludable
}

// excludeInDoubt adds the value of the commit in doubt, unchanged, to a new draft. If the outcome
// is known by now, it ends the exclusion instead.
func (d *draft) excludeInDoubt() {
	c := d.c
	key := c.commits.inDoubt.key
	if key == "" {
		return
	}
	if c.commits.inDoubt.isOutcomeKnown(c.cache.modRevisions) {
		c.commits.inDoubt = inDoubtCommit{}
		return
	}
	switch kind, name := codec.ParseKey(key); kind {
	case codec.KindPack:
		d.addValue(key)
	case codec.KindTeam:
		d.dropShareChange(name)
	case codec.KindJob:
		if j := c.cache.jobs[name]; j != nil {
			d.header(j)
		}
	default:
		d.rewriteCell(key, name)
	}
}

// rewriteCell adds a chunk or cell, unchanged, to the draft, unless its job no longer keeps tasks
// in it; name is the part of the key after the prefix.
func (d *draft) rewriteCell(key, name string) {
	path := strings.Split(name, "/")
	j := d.c.cache.jobs[path[0]]
	if j == nil || j.Header.Spec == nil {
		return
	}
	if i, ok := j.Header.FirstTaskOf(path[1:]); ok && j.Header.ValueKey(j.ID, i) == key {
		d.copyCell(j, i)
		d.addValue(key)
	}
}
