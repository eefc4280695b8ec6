package peer

import (
	"encoding/hex"
	"errors"
	"reflect"
	"testing"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

func TestMessageRoundTrip(t *testing.T) {
	m := scheduler.PeerMessage{
		Epoch: 7, Load: 12.5, StateReachable: true, Reserved: []string{"n-1"}, Evicting: []string{"n-2", "n-3"},
		Machines: []scheduler.PeerMachine{{Name: "n-1", Addr: "10.0.0.1:9", Type: "g8", Zone: "a", Spot: true, Leaving: true, AgentEpoch: 3,
			Load: 1.5, Images: []string{"x", "y"}}, {Name: "n-2"}},
		Steal: &scheduler.StealRequest{Type: "g8", Zone: "b", Spot: true, Room: domain.Resources{CPU: 1, GPU: 2, Memory: 3}, MaxTasks: 4},
	}
	frame := Encode("c-1", m)
	from, got, err := Decode(frame)
	if err != nil || from != "c-1" || !reflect.DeepEqual(got, m) {
		t.Errorf("from %q, err %v\n got %+v\nwant %+v", from, err, got, m)
	}
	// Damaged or truncated bytes must not crash the process.
	for i := range frame {
		damaged := append([]byte(nil), frame...)
		damaged[i] ^= 0xff
		_, _, _ = Decode(damaged)
		if _, _, err := Decode(frame[:min(i, 7)]); !errors.Is(err, ErrMalformed) {
			t.Fatalf("a frame of %d bytes was accepted", min(i, 7))
		}
	}
}

// Frames as the previous version in production wrote them, which did not know job dependencies.
const (
	previousLoadFrame  = "1c0000000000000014002c0028001c00140010000c0000000800070014000000000000012c000000400000005400000000000000000004400400000000000000000000000400000003000000632d31000100000004000000080000006e2d303030303033000000000100000004000000080000006e2d30303030303200000000010000001c0000000000160030002c002800240020001f000000100008000400160000002c000000000000000000f83f0200000000000000000000000000000134000000380000003c0000004c00000002000000140000000400000005000000696d672d3200000005000000696d672d31000000010000006100000003000000626f78000d00000031302e312e302e313a39303030000000080000006e2d30303030303100000000"
	previousStealFrame = "1c000000000000000000120020001c001400000010000c0004000800120000003800000070000000700000007000000004000000000000000400000003000000632d3200000012002c0028002400230018001000080004001200000008000000b80b000000000000d007000000000000e80300000000000000000001080000000c000000010000006200000003000000626f7800000000000000000000000000"
)

// TestPreviousVersionFrames checks that this version reads and writes the frames of the
// previous version, byte for byte: both versions exchange messages while controllers are
// upgraded. New fields may only be appended to the schema.
func TestPreviousVersionFrames(t *testing.T) {
	for from, x := range map[string]struct {
		frame string
		want  scheduler.PeerMessage
	}{
		"c-1": {previousLoadFrame, scheduler.PeerMessage{Epoch: 4, Load: 2.5, StateReachable: true, Reserved: []string{"n-000002"}, Evicting: []string{"n-000003"},
			Machines: []scheduler.PeerMachine{{Name: "n-000001", Addr: "10.1.0.1:9000", Type: "box", Zone: "a", Spot: true, AgentEpoch: 2, Load: 1.5,
				Images: []string{"img-1", "img-2"}}}}},
		"c-2": {previousStealFrame, scheduler.PeerMessage{Epoch: 4, Machines: []scheduler.PeerMachine{}, Steal: &scheduler.StealRequest{Type: "box", Zone: "b", Spot: true, Room: domain.Resources{CPU: 1000, GPU: 2000, Memory: 3000}, MaxTasks: 8}}},
	} {
		t.Run(from, func(t *testing.T) {
			b, err := hex.DecodeString(x.frame)
			if err != nil {
				t.Fatal(err)
			}
			got, m, err := Decode(b)
			if err != nil || got != from || !reflect.DeepEqual(m, x.want) {
				t.Errorf("from %q, err %v\n got %+v\nwant %+v", got, err, m, x.want)
			}
			// This version writes the same bytes, so the previous version can read them.
			if encoded := Encode(from, x.want); !reflect.DeepEqual(encoded, b) {
				t.Error("this version encodes the message to other bytes")
			}
		})
	}
}
