package scheduler

import (
	"strings"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// A task commit without an answer may be carried out late, after newer ones of this
// controller. Until that is settled every task commit writes one of its values again, under
// the condition that it hasn't changed; so of all these commits one at most is ever carried
// out, and no two of them can together book more than this controller's share of a team's
// limit, or more than a machine holds.

// inDoubtCommit is the value by which later task commits exclude one whose outcome is
// unknown.
type inDoubtCommit struct {
	key         string // "": no commit is in doubt
	modRevision uint64 // that the commit found
}

// isSettled tells whether the value changed since: the commit was carried out, or never
// will be.
func (v inDoubtCommit) isSettled(modRevisions map[string]uint64) bool {
	return modRevisions[v.key] != v.modRevision
}

// markInDoubt remembers a commit without an answer, given the revisions of the cache's
// values.
func (s *commits) markInDoubt(lost domain.Transaction, modRevisions map[string]uint64) {
	if s.inDoubt.key != "" {
		return // this one, too, excludes the first
	}
	found := map[string]uint64{}
	for _, condition := range lost.Conditions {
		found[condition.Key] = condition.ModRevision
		if modRevisions[condition.Key] != condition.ModRevision {
			return // carried out, or never to be
		}
	}
	best := unfitToExclude
	for _, put := range lost.Puts {
		if rank := exclusionRank(put.Key); rank < best {
			best = rank
			s.inDoubt = inDoubtCommit{key: put.Key, modRevision: found[put.Key]}
		}
	}
}

// unfitToExclude is the rank of values that can't be written again as they are.
const unfitToExclude = 4

// exclusionRank orders values by how well they serve to exclude a commit, the best first:
// packs, then cells and headers, then teams' shares, which all controllers change.
func exclusionRank(key string) int {
	switch kind, _ := codec.ParseKey(key); kind {
	case codec.KindPack:
		return 1
	case codec.KindTasks, codec.KindJob:
		return 2
	case codec.KindTeam:
		return 3
	}
	return unfitToExclude
}

// excludeInDoubt puts the value in doubt into a new draft as it is.
func (d *draft) excludeInDoubt() {
	c := d.c
	key := c.commits.inDoubt.key
	if key == "" {
		return
	}
	if c.commits.inDoubt.isSettled(c.cache.modRevisions) {
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
		d.keepCell(key, name)
	}
}

// keepCell writes the value of a chunk or cell as it is, unless its job has no use for it
// any more; name is the rest of its key after the prefix.
func (d *draft) keepCell(key, name string) {
	path := strings.Split(name, "/")
	j := d.c.cache.jobs[path[0]]
	if j == nil || j.Header.Spec == nil {
		return
	}
	if i, ok := j.Header.FirstTaskOf(path[1:]); ok && j.Header.KeyOf(j.ID, i) == key {
		d.copyCell(j, i)
		d.addValue(key)
	}
}
