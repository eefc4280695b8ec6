package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// tasksByJob holds the tasks of a pack, chunk or cell, by job.
type tasksByJob map[string][]domain.Task

// transaction returns the transaction that writes the draft, on condition that no value that the
// draft depends on has changed.
func (d *draft) transaction() domain.Transaction {
	puts := d.appendHeaders(nil) // first, since a cache ignores a chunk whose job's header it lacks
	puts = append(puts, d.rawPuts...)
	puts = d.appendValues(puts)
	puts = d.appendShares(puts)
	return domain.Transaction{Conditions: d.transactionConditions(), Puts: puts}
}

// transactionConditions returns the conditions of the transaction. The first is on the view, so
// that a controller that lost its shard writes nothing more; the others are on all values that
// the draft read.
func (d *draft) transactionConditions() []domain.Condition {
	revisions := d.c.cache.modRevisions
	conditions := []domain.Condition{{Key: codec.KeyView, ModRevision: revisions[codec.KeyView]}}
	for _, key := range slices.Sorted(maps.Keys(d.conditions)) {
		conditions = append(conditions, domain.Condition{Key: key, ModRevision: revisions[key]})
	}
	return conditions
}

// appendHeaders appends the headers, ordered by job. Inline headers contain their jobs' tasks.
func (d *draft) appendHeaders(puts []domain.Put) []domain.Put {
	for _, id := range slices.Sorted(maps.Keys(d.headers)) {
		header := d.headers[id]
		if header.Inline {
			header.InlineTasks = d.inlineTasks(id, header)
		}
		puts = append(puts, domain.Put{Key: codec.KeyJob(id), Value: codec.Encode(header)})
	}
	return puts
}

// inlineTasks returns the tasks that a header contains, or nil if the job is over or none of its
// tasks has changed yet.
func (d *draft) inlineTasks(id string, header *codec.JobHeader) *codec.ChunkValue {
	if d.finished[id] || header.Spec == nil {
		return nil
	}
	tasks := d.cells[cellRef{id, 0}]
	if tasks == nil {
		tasks = d.c.cache.jobs[id].Tasks
	}
	if tasks == nil {
		return nil
	}
	return d.c.cache.chunkOf(tasksByJob{id: tasks})
}

// appendValues appends packs, chunks and cells, ordered by key. A pack is written even if it is
// empty; a chunk or cell without tasks is deleted if it exists.
func (d *draft) appendValues(puts []domain.Put) []domain.Put {
	values := d.tasksByValue()
	for _, key := range slices.Sorted(maps.Keys(d.keys)) {
		kind, _ := codec.ParseKey(key)
		switch {
		case len(values[key]) > 0 || kind == codec.KindPack:
			puts = append(puts, domain.Put{Key: key, Value: codec.Encode(d.c.cache.chunkOf(values[key]))})
		case d.c.cache.modRevisions[key] != 0:
			puts = append(puts, domain.Put{Key: key})
		}
	}
	return puts
}

// tasksByValue returns the tasks of the values to write, by key: the draft's copies and, in
// packs, the tasks of all other jobs as they are.
func (d *draft) tasksByValue() map[string]tasksByJob {
	values := map[string]tasksByJob{}
	for key := range d.keys {
		values[key] = tasksByJob{}
		if kind, pack := codec.ParseKey(key); kind == codec.KindPack {
			d.addUntouchedJobs(values[key], pack)
		}
	}
	refs := slices.SortedFunc(maps.Keys(d.cells), func(a, b cellRef) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.from, b.from))
	})
	for _, ref := range refs {
		if j := d.c.cache.jobs[ref.job]; !d.finished[ref.job] && !j.Header.Inline {
			values[d.keyOf(j, ref.from)][ref.job] = d.cells[ref]
		}
	}
	return values
}

// addUntouchedJobs adds the tasks of those jobs in a pack that the draft neither changes nor moves.
func (d *draft) addUntouchedJobs(value tasksByJob, pack string) {
	jobs := d.c.cache.jobsByPack[pack]
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		j := jobs[id]
		if j.Tasks == nil || d.finished[id] || d.cells[cellRef{id, 0}] != nil || d.moved[id] != "" {
			continue
		}
		value[id] = j.Tasks
	}
}

// appendShares appends the shares of teams' limits, ordered by team.
func (d *draft) appendShares(puts []domain.Put) []domain.Put {
	for _, team := range slices.Sorted(maps.Keys(d.shares)) {
		puts = append(puts, domain.Put{Key: codec.PrefixTeam + team, Value: codec.Encode(d.shares[team])})
	}
	return puts
}
