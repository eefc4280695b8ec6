package codec

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"brassglade/internal/domain"
)

// shortForm is the version of the shorter form.
const shortForm = 2

// ChunkValue is the value of task/ID/K and pack/NODE/K, and part of the header
// of small whole jobs: the tasks of one job or of several as short texts, since
// every change rewrites the whole value and the state service bounds both its
// size and the changes a second. A text has runs of states, then the bookings
// by machine:
//
//	?5        five queued tasks      ?1,a,p   one with a attempts so far, passed to part p
//	!3        three done             *4       four booked
//	|n-000231,z,p,s,a:8-10.12   tasks 8, 9, 10 and 12 are booked on that machine in zone z
//	                            by node p, session s, attempt a
//
// Items are separated by semicolons; z and p are places in D; s and a are left
// out when both are 1.
//
// Since values became smaller there is a shorter form, V 2: a count of one is left
// out, nothing stands between runs, and bookings are grouped by what they share:
//
//	?5!3*4?            five queued, three done, four booked, one queued
//	/z,p,s,a|231:8-10.12|232:9   on the machines P+"231" and P+"232"
//
// P is what all machine names begin with. The text is about half as long.
type ChunkValue struct {
	Version       int               `json:"v,omitempty"`
	MachinePrefix string            `json:"p,omitempty"`
	Names         []string          `json:"d,omitempty"`
	Texts         map[string]string `json:"j"`
}

// NewChunkValue makes the value of some jobs' tasks, by job, in the shorter form or the first.
func NewChunkValue(tasksByJob map[string][]domain.Task, short bool) *ChunkValue {
	v := &ChunkValue{Texts: map[string]string{}}
	if short {
		v.Version, v.MachinePrefix = shortForm, prefixOf(tasksByJob)
	}
	for _, id := range slices.Sorted(maps.Keys(tasksByJob)) {
		v.Put(id, tasksByJob[id])
	}
	return v
}

// prefixOf is what all machine names in the texts begin with, without digits from
// 1 to 9: it shrinks seldom as machines come and go.
func prefixOf(jobs map[string][]domain.Task) string {
	p, any := "", false
	for _, ts := range jobs {
		for i := range ts {
			m := ts[i].Machine
			if ts[i].State != domain.Booked {
				continue
			}
			if !any {
				p, any = m[:strings.IndexAny(m+"1", "123456789")], true
				if p == m && p != "" {
					p = p[:len(p)-1]
				}
			}
			for !strings.HasPrefix(m, p) || m == p {
				p = p[:len(p)-1]
			}
		}
	}
	return p
}

func (v *ChunkValue) name(s string) string {
	i := slices.Index(v.Names, s)
	if i < 0 {
		i = len(v.Names)
		v.Names = append(v.Names, s)
	}
	return strconv.Itoa(i)
}

// ranges writes task numbers: 8-10.12.
func ranges(b *strings.Builder, l []int) {
	for k := 0; k < len(l); {
		m := 1
		for k+m < len(l) && l[k+m] == l[k]+m {
			m++
		}
		if k > 0 {
			b.WriteByte('.')
		}
		b.WriteString(strconv.Itoa(l[k]))
		if m > 1 {
			b.WriteString("-" + strconv.Itoa(l[k+m-1]))
		}
		k += m
	}
}

// putShort adds a job's tasks in the shorter form.
func (v *ChunkValue) putShort(id string, ts []domain.Task) {
	var b strings.Builder
	type kind struct {
		zone, part     string
		shift, attempt uint64
	}
	var kinds []kind
	machines := map[kind][]string{}
	tasks := map[kind]map[string][]int{}
	for i := 0; i < len(ts); {
		t, n := ts[i], 1
		for i+n < len(ts) && (ts[i+n] == t || ts[i+n].State == domain.Booked && t.State == domain.Booked) {
			n++
		}
		b.WriteByte("?*!"[t.State])
		if n > 1 {
			b.WriteString(strconv.Itoa(n))
		}
		if t.State == domain.Queued && (t.Attempt > 0 || t.Shard != "") {
			b.WriteString("," + strconv.FormatUint(t.Attempt, 10) + "," + v.name(t.Shard))
		}
		for ; n > 0; n-- {
			if x := ts[i]; x.State == domain.Booked {
				k := kind{x.Zone, x.Shard, x.AgentEpoch, x.Attempt}
				if tasks[k] == nil {
					kinds, tasks[k] = append(kinds, k), map[string][]int{}
				}
				if tasks[k][x.Machine] == nil {
					machines[k] = append(machines[k], x.Machine)
				}
				tasks[k][x.Machine] = append(tasks[k][x.Machine], i)
			}
			i++
		}
	}
	slices.SortFunc(kinds, func(x, y kind) int {
		return cmp.Or(cmp.Compare(x.zone, y.zone), cmp.Compare(x.part, y.part), cmp.Compare(x.shift, y.shift), cmp.Compare(x.attempt, y.attempt))
	})
	for _, k := range kinds {
		b.WriteString("/" + v.name(k.zone) + "," + v.name(k.part))
		if k.shift != 1 || k.attempt != 1 {
			b.WriteString("," + strconv.FormatUint(k.shift, 10) + "," + strconv.FormatUint(k.attempt, 10))
		}
		slices.Sort(machines[k])
		for _, m := range machines[k] {
			b.WriteString("|" + strings.TrimPrefix(m, v.MachinePrefix) + ":")
			ranges(&b, tasks[k][m])
		}
	}
	v.Texts[id] = b.String()
}

// Put adds a job's tasks.
func (v *ChunkValue) Put(id string, ts []domain.Task) {
	if v.Version == shortForm {
		v.putShort(id, ts)
		return
	}
	var b strings.Builder
	var booked []int
	alike := func(x, y domain.Task) bool { return x == y || x.State == domain.Booked && y.State == domain.Booked }
	for i := 0; i < len(ts); {
		t, n := ts[i], 1
		for i+n < len(ts) && alike(ts[i+n], t) {
			n++
		}
		if i > 0 {
			b.WriteByte(';')
		}
		switch t.State {
		case domain.Queued:
			b.WriteString("?" + strconv.Itoa(n))
			if t.Attempt > 0 || t.Shard != "" {
				b.WriteString("," + strconv.FormatUint(t.Attempt, 10) + "," + v.name(t.Shard))
			}
		case domain.Done:
			b.WriteString("!" + strconv.Itoa(n))
		case domain.Booked:
			b.WriteString("*" + strconv.Itoa(n))
			for k := i; k < i+n; k++ {
				booked = append(booked, k)
			}
		}
		i += n
	}
	slices.SortStableFunc(booked, func(x, y int) int {
		a, c := ts[x], ts[y]
		return cmp.Or(cmp.Compare(a.Machine, c.Machine), cmp.Compare(a.AgentEpoch, c.AgentEpoch),
			cmp.Compare(a.Attempt, c.Attempt), cmp.Compare(a.Shard, c.Shard), cmp.Compare(x, y))
	})
	for i := 0; i < len(booked); {
		t, n := ts[booked[i]], 1
		for i+n < len(booked) && ts[booked[i+n]] == t {
			n++
		}
		b.WriteString(map[bool]string{true: "|", false: ";"}[i == 0])
		b.WriteString(t.Machine + "," + v.name(t.Zone) + "," + v.name(t.Shard))
		if t.AgentEpoch != 1 || t.Attempt != 1 {
			b.WriteString("," + strconv.FormatUint(t.AgentEpoch, 10) + "," + strconv.FormatUint(t.Attempt, 10))
		}
		b.WriteByte(':')
		ranges(&b, booked[i:i+n])
		i += n
	}
	v.Texts[id] = b.String()
}
