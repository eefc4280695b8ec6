package scheduler

import (
	"testing"

	"brassglade/internal/domain"
)

// TestRendezvous: only the machines of a node that leaves change owner.
func TestRendezvous(t *testing.T) {
	three, two := &domain.View{Serving: []string{"a", "b", "c"}}, &domain.View{Serving: []string{"a", "c"}}
	n, c := map[string]int{}, &Controller{}
	for i := 0; i < 300; i++ {
		m := "n-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		o := c.owner(three, m, "")
		n[o]++
		if o != "b" && c.owner(two, m, "") != o {
			t.Fatalf("%s moved from %s to %s", m, o, c.owner(two, m, ""))
		}
	}
	for _, o := range three.Serving {
		if n[o] < 60 {
			t.Errorf("%s owns %d of 300", o, n[o])
		}
	}
}
