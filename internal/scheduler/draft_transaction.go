package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// tasksByJob are the tasks that a pack, chunk or cell holds, by job.
type tasksByJob map[string][]domain.Task

// transaction writes the draft as one transaction, conditional on all that it read.
func (d *draft) transaction() domain.Transaction {
	puts := d.appendHeaders(nil) // first: a cache takes a chunk only below a header
	puts = append(puts, d.rawPuts...)
	puts = d.appendValues(puts)
	puts = d.appendShares(puts)
	return domain.Transaction{Conditions: d.transactionConditions(), Puts: puts}
}

// transactionConditions names the view, by which a controller that lost its shard writes
// nothing more, and then all that the draft read.
func (d *draft) transactionConditions() []domain.Condition {
	revisions := d.c.cache.modRevisions
	conditions := []domain.Condition{{Key: codec.KeyView, ModRevision: revisions[codec.KeyView]}}
	for _, key := range slices.Sorted(maps.Keys(d.conditions)) {
		conditions = append(conditions, domain.Condition{Key: key, ModRevision: revisions[key]})
	}
	return conditions
}

// appendHeaders appends the headers, by job; some carry their tasks.
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

// inlineTasks are the tasks that a header carries; nil: of a job that is over, or that
// nothing happened to yet.
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

// appendValues appends packs, chunks and cells, by key. A pack is written even when it
// holds nothing any more; a chunk or cell without tasks is deleted if it is there.
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

// tasksByValue are the tasks of the values to write, by key: those that the draft has
// copies of, and in packs those of all other jobs as they are.
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

// addUntouchedJobs adds the tasks of a pack's jobs that the draft neither changes nor moves.
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

// appendShares appends the shares of teams' limits, by team.
func (d *draft) appendShares(puts []domain.Put) []domain.Put {
	for _, team := range slices.Sorted(maps.Keys(d.shares)) {
		puts = append(puts, domain.Put{Key: codec.PrefixTeam + team, Value: codec.Encode(d.shares[team])})
	}
	return puts
}
