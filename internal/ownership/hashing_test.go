package ownership

import (
	"fmt"
	"testing"
)

// TestHashNeverChanges guards against a change of the hash: controllers of this version and of
// the previous one must agree on every owner.
func TestHashNeverChanges(t *testing.T) {
	for want, parts := range map[uint64][]string{
		0xefd01f60ba992926: {},
		0x1bbd5c813c69a8d7: {""},
		0xa32d2b1dc96181aa: {"c-0", "n-000001"},
		0xd8abda2ef616c0ad: {"c-0n", "-000001"},
	} {
		if got := Hash(parts...); got != want {
			t.Errorf("hash of %q is %#x, want %#x", parts, got, want)
		}
	}
}

// TestRendezvousMovesFewKeys checks that only the keys of a removed controller change owner, and
// that each controller has about an equal share.
func TestRendezvousMovesFewKeys(t *testing.T) {
	all, left := []string{"c-0", "c-1", "c-2", "c-3"}, []string{"c-0", "c-1", "c-3"}
	count := map[string]int{}
	for i := range 4000 {
		key := fmt.Sprintf("n-%06d", i)
		owner := Rendezvous(key, all)
		count[owner]++
		if owner != "c-2" && Rendezvous(key, left) != owner {
			t.Errorf("%s changes owner from %s, which still serves", key, owner)
		}
	}
	for _, controller := range all {
		if n := count[controller]; n < 900 || n > 1100 {
			t.Errorf("%s owns %d of 4000 keys, want 900 to 1100", controller, n)
		}
	}
	if got := Rendezvous("n-000001", nil); got != "" {
		t.Errorf("without controllers a key belongs to %q", got)
	}
}
