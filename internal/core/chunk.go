package core

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"strings"
)

// chunkValue is the value of task/ID/K and pack/NODE/K, and part of the header
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
type chunkValue struct {
	D []string          `json:"d,omitempty"`
	J map[string]string `json:"j"`
}

func (v *chunkValue) name(s string) string {
	i := slices.Index(v.D, s)
	if i < 0 {
		i = len(v.D)
		v.D = append(v.D, s)
	}
	return strconv.Itoa(i)
}

// put adds a job's tasks.
func (v *chunkValue) put(id string, ts []Task) {
	var b strings.Builder
	var booked []int
	alike := func(x, y Task) bool { return x == y || x.State == Booked && y.State == Booked }
	for i := 0; i < len(ts); {
		t, n := ts[i], 1
		for i+n < len(ts) && alike(ts[i+n], t) {
			n++
		}
		if i > 0 {
			b.WriteByte(';')
		}
		switch t.State {
		case Queued:
			b.WriteString("?" + strconv.Itoa(n))
			if t.Attempt > 0 || t.Part != "" {
				b.WriteString("," + strconv.FormatUint(t.Attempt, 10) + "," + v.name(t.Part))
			}
		case Done:
			b.WriteString("!" + strconv.Itoa(n))
		case Booked:
			b.WriteString("*" + strconv.Itoa(n))
			for k := i; k < i+n; k++ {
				booked = append(booked, k)
			}
		}
		i += n
	}
	slices.SortStableFunc(booked, func(x, y int) int {
		a, c := ts[x], ts[y]
		return cmp.Or(cmp.Compare(a.Machine, c.Machine), cmp.Compare(a.Shift, c.Shift),
			cmp.Compare(a.Attempt, c.Attempt), cmp.Compare(a.Part, c.Part), cmp.Compare(x, y))
	})
	for i := 0; i < len(booked); {
		t, n := ts[booked[i]], 1
		for i+n < len(booked) && ts[booked[i+n]] == t {
			n++
		}
		b.WriteString(map[bool]string{true: "|", false: ";"}[i == 0])
		b.WriteString(t.Machine + "," + v.name(t.Zone) + "," + v.name(t.Part))
		if t.Shift != 1 || t.Attempt != 1 {
			b.WriteString("," + strconv.FormatUint(t.Shift, 10) + "," + strconv.FormatUint(t.Attempt, 10))
		}
		for k := 0; k < n; {
			m := 1
			for k+m < n && booked[i+k+m] == booked[i+k]+m {
				m++
			}
			b.WriteString(map[bool]string{true: ":", false: "."}[k == 0] + strconv.Itoa(booked[i+k]))
			if m > 1 {
				b.WriteString("-" + strconv.Itoa(booked[i+k+m-1]))
			}
			k += m
		}
		i += n
	}
	v.J[id] = b.String()
}

var errChunk = errors.New("odd text of tasks")

// most bounds what one text may claim, against nonsense in the store.
const chunkMost = 200000

// tasks reads a job's tasks back.
func (v *chunkValue) tasks(text string, take func(int, Task)) error {
	ok := true
	num := func(s string) uint64 {
		x, err := strconv.ParseUint(s, 10, 64)
		ok = ok && err == nil
		return x
	}
	ref := func(s string) string {
		x, err := strconv.Atoi(s)
		if err != nil || x < 0 || x >= len(v.D) {
			ok = false
			return ""
		}
		return v.D[x]
	}
	runs, groups, any := strings.Cut(text, "|")
	i := 0
	for _, item := range strings.Split(runs, ";") {
		f := strings.Split(item, ",")
		if len(f[0]) < 2 || len(f) != 1 && len(f) != 3 {
			return errChunk
		}
		var t Task
		switch f[0][0] {
		case '?':
			if len(f) == 3 {
				t.Attempt, t.Part = num(f[1]), ref(f[2])
			}
		case '!':
			t.State = Done
		case '*':
			t.State = Booked // named below
		default:
			return errChunk
		}
		n := num(f[0][1:])
		if !ok || n > chunkMost {
			return errChunk
		}
		for ; n > 0; n-- {
			if t.State != Booked {
				take(i, t)
			}
			i++
		}
	}
	if !any {
		return nil
	}
	for _, item := range strings.Split(groups, ";") {
		head, list, _ := strings.Cut(item, ":")
		f := strings.Split(head, ",")
		if len(f) != 3 && len(f) != 5 {
			return errChunk
		}
		t := Task{State: Booked, Machine: f[0], Zone: ref(f[1]), Part: ref(f[2]), Shift: 1, Attempt: 1}
		if len(f) == 5 {
			t.Shift, t.Attempt = num(f[3]), num(f[4])
		}
		for _, r := range strings.Split(list, ".") {
			from, to, more := strings.Cut(r, "-")
			x := num(from)
			y := x
			if more {
				y = num(to)
			}
			if !ok || y < x || y > chunkMost {
				return errChunk
			}
			for ; x <= y; x++ {
				take(int(x), t)
			}
		}
	}
	return nil
}
