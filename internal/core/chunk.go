package core

import (
	"fmt"
	"strconv"
	"strings"
)

// chunkValue is the value of task/ID/K and pack/NODE/K: the tasks of one job or
// of several as short texts, since every change rewrites the whole value and
// the state service bounds both its size and the changes a second.
//
//	?5        five queued tasks      ?1,a,p   one with attempts so far and the part it was passed to
//	!3        three done
//	n-000231,z,p,s,a   booked on that machine in zone z by node p, session s, attempt a
//
// Items are separated by semicolons; z and p are places in D; s and a are left
// out when both are 1.
type chunkValue struct {
	D []string          `json:"d,omitempty"`
	J map[string]string `json:"j"`
}

func (v *chunkValue) name(s string) string {
	for i, x := range v.D {
		if x == s {
			return strconv.Itoa(i)
		}
	}
	v.D = append(v.D, s)
	return strconv.Itoa(len(v.D) - 1)
}

// put adds a job's tasks.
func (v *chunkValue) put(id string, ts []Task) {
	var b strings.Builder
	for i := 0; i < len(ts); {
		t, n := ts[i], 1
		if t.State != Booked {
			for i+n < len(ts) && ts[i+n] == t {
				n++
			}
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
			b.WriteString(t.Machine + "," + v.name(t.Zone) + "," + v.name(t.Part))
			if t.Shift != 1 || t.Attempt != 1 {
				b.WriteString("," + strconv.FormatUint(t.Shift, 10) + "," + strconv.FormatUint(t.Attempt, 10))
			}
		}
		i += n
	}
	v.J[id] = b.String()
}

// tasks reads a job's tasks back.
func (v *chunkValue) tasks(text string, take func(int, Task)) error {
	i := 0
	for text != "" {
		item, rest, _ := strings.Cut(text, ";")
		text = rest
		var f [5]string
		k := 0
		for more := true; more && k < len(f); k++ {
			f[k], item, more = strings.Cut(item, ",")
		}
		num := func(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) }
		ref := func(s string) (string, error) {
			x, err := strconv.Atoi(s)
			if err != nil || x < 0 || x >= len(v.D) {
				return "", fmt.Errorf("no name %q", s)
			}
			return v.D[x], nil
		}
		var t Task
		n := 1
		var err error
		switch {
		case f[0] == "":
			return fmt.Errorf("empty item")
		case (f[0][0] == '?' || f[0][0] == '!') && (k == 1 || k == 3):
			if n, err = strconv.Atoi(f[0][1:]); err != nil {
				return err
			}
			if f[0][0] == '!' {
				t.State = Done
			} else if k == 3 {
				if t.Attempt, err = num(f[1]); err != nil {
					return err
				}
				if t.Part, err = ref(f[2]); err != nil {
					return err
				}
			}
		case k == 3 || k == 5:
			t = Task{State: Booked, Machine: f[0], Shift: 1, Attempt: 1}
			if t.Zone, err = ref(f[1]); err != nil {
				return err
			}
			if t.Part, err = ref(f[2]); err != nil {
				return err
			}
			if k == 5 {
				if t.Shift, err = num(f[3]); err != nil {
					return err
				}
				if t.Attempt, err = num(f[4]); err != nil {
					return err
				}
			}
		default:
			return fmt.Errorf("odd item %q", f[0])
		}
		for ; n > 0; n-- {
			take(i, t)
			i++
		}
	}
	return nil
}
