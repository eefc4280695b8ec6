package codec

import "brassglade/internal/domain"

// TeamShares is the value of b/team/NAME: what each controller has reserved of the team's
// limit for the bookings it made or is about to make. The sum stays within the limit, and a
// controller's bookings stay within its share.
type TeamShares struct {
	ByController map[string]domain.Resources `json:"r"`
}

// CordonPage is the value of b/mach/NODE: the cordons of the machines that rendezvous hashing
// over all controllers of the settings gives that one, whoever owns them now.
type CordonPage struct {
	Draining map[string]string `json:"d,omitempty"` // machine -> reason (domain.DrainIdle and so on)
	Gone     []string          `json:"g,omitempty"` // machines, oldest first; forgotten in that order
}

// MachineTypePage is the value of b/flavors and of b/flavors/K: the machine types that the
// cloud offers, on as many pages as they need.
type MachineTypePage struct {
	Types []domain.MachineType `json:"f"`
	More  int                  `json:"m,omitempty"` // on the first page: how many pages follow
}

// WindowRecord is the value of b/window/NODE: what one controller tells all at the end of each
// learning window.
type WindowRecord struct {
	Sequence      uint64    `json:"q"` // of the window
	Loads         []float64 `json:"x"` // samples of the expected delay of machines, s
	Passes        int       `json:"p"` // tasks passed to other shards
	CriticWeights []float64 `json:"t"`
}
