package scheduler

import (
	"fmt"
	"testing"
)

// TestHashStays: controllers of this version and the one before must agree on every owner.
func TestHashStays(t *testing.T) {
	for want, parts := range map[uint64][]string{
		0xefd01f60ba992926: {},
		0x1bbd5c813c69a8d7: {""},
		0xa32d2b1dc96181aa: {"c-0", "n-000001"},
		0xd8abda2ef616c0ad: {"c-0n", "-000001"},
	} {
		if got := hash64(parts...); got != want {
			t.Errorf("hash of %q is %#x, want %#x", parts, got, want)
		}
	}
}

// TestRendezvousMovesFew: a node that leaves takes along only the keys that it had, and
// each node has about its part.
func TestRendezvousMovesFew(t *testing.T) {
	all, left := []string{"c-0", "c-1", "c-2", "c-3"}, []string{"c-0", "c-1", "c-3"}
	count := map[string]int{}
	for i := range 4000 {
		key := fmt.Sprintf("n-%06d", i)
		owner := rendezvous(key, all)
		count[owner]++
		if owner != "c-2" && rendezvous(key, left) != owner {
			t.Errorf("%s moves from %s", key, owner)
		}
	}
	for _, node := range all {
		if n := count[node]; n < 900 || n > 1100 {
			t.Errorf("%s has %d of 4000 keys", node, n)
		}
	}
	if got := rendezvous("n-000001", nil); got != "" {
		t.Errorf("without nodes a key belongs to %q", got)
	}
}
