package peer

import (
	"reflect"
	"testing"

	"brassglade/internal/core"
)

func TestMessageRoundTrip(t *testing.T) {
	m := core.PeerMsg{
		Epoch: 7, Load: 12.5, Usable: true, Holds: []string{"n-1"}, Evict: []string{"n-2", "n-3"},
		Machines: []core.PeerMachine{{Name: "n-1", Addr: "10.0.0.1:9", Type: "g8", Zone: "a", Spot: true, Recall: true, Shift: 3,
			Load: 1.5, Images: []string{"x", "y"}}, {Name: "n-2"}},
		Steal: &core.Steal{Type: "g8", Zone: "b", Spot: true, Room: core.Res{CPU: 1, GPU: 2, Mem: 3}, Most: 4},
	}
	p := Encode("c-1", m)
	from, got, err := Decode(p)
	if err != nil || from != "c-1" || !reflect.DeepEqual(got, m) {
		t.Errorf("from %q, err %v\n got %+v\nwant %+v", from, err, got, m)
	}
	// Damaged bytes must never take the process down.
	for i := range p {
		q := append([]byte(nil), p...)
		q[i] ^= 0xff
		_, _, _ = Decode(q)
		if _, _, err := Decode(p[:min(i, 7)]); err == nil {
			t.Fatalf("%d bytes were taken", min(i, 7))
		}
	}
}
