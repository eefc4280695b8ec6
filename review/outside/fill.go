package outside

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Value returns the value of a key, or nil.
func (s *State) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].value
}

// Fill writes n keys, each with the value that values returns for its number, as transactions of
// one change each. The changes are not kept for watches.
func (s *State) Fill(n int, key func(int) string, value func(int) json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.revision++
		s.entries[key(i)] = entry{value: value(i), stamp: s.revision}
	}
	s.first, s.history, s.keys = s.revision, nil, nil
}

// MemoryMB returns the anonymous memory that a controller holds, in MB of 2^20 bytes; 0 if it does
// not run.
func (k *Controller) MemoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", k.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return 0
			}
			return float64(kb) / 1024
		}
	}
	return 0
}
