package peer

import (
	"fmt"
	"testing"

	"brassglade/internal/scheduler"
)

// newLoadMessage returns the message that a controller that owns n machines sends to the others.
func newLoadMessage(n int) scheduler.PeerMessage {
	m := scheduler.PeerMessage{Epoch: 7, Load: 30, StateReachable: true}
	for i := 0; i < n; i++ {
		x := scheduler.PeerMachine{Name: fmt.Sprintf("n-%06d", i), Addr: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Type: "zasuwa", Zone: "wola-hall", AgentEpoch: 1, Load: 40}
		for k := 0; k < 6; k++ {
			x.Images = append(x.Images, fmt.Sprintf("drawscan-img-%02d", k))
		}
		m.Machines = append(m.Machines, x)
	}
	return m
}

// TestLargestMessageFitsFrame checks that a message with 2,000 machines takes at most half of the
// largest frame, since one controller may own all of them.
func TestLargestMessageFitsFrame(t *testing.T) {
	p := Encode("bracket-1", newLoadMessage(2000))
	if len(p) > maxFrameBytes/2 {
		t.Errorf("a message of 2,000 machines takes %d bytes, want at most half of the largest frame", len(p))
	}
	_, m, err := Decode(p)
	if err != nil || len(m.Machines) != 2000 || len(m.Machines[1999].Images) != 6 {
		t.Errorf("decoded %d machines, error %v; want 2,000 with six images each", len(m.Machines), err)
	}
}

func BenchmarkEncode(b *testing.B) {
	m := newLoadMessage(190)
	for i := 0; i < b.N; i++ {
		b.SetBytes(int64(len(Encode("bracket-1", m))))
	}
}

func BenchmarkDecode(b *testing.B) {
	p := Encode("bracket-1", newLoadMessage(190))
	b.SetBytes(int64(len(p)))
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		if _, _, err := Decode(p); err != nil {
			b.Fatal(err)
		}
	}
}
