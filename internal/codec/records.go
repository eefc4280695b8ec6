package codec

import "brassglade/internal/domain"

// TeamShares is the value of b/team/NAME: the part of the team's limit that each controller has
// reserved for the bookings that it has made or is about to make. The sum of the shares stays
// within the limit, and each controller's bookings stay within its share.
type TeamShares struct {
	ByController map[string]domain.Resources `json:"r"`
}

// CordonPage is the value of b/mach/NODE: the cordons of the machines that rendezvous hashing over
// all controllers in the settings assigns to that controller, regardless of which one owns them now.
type CordonPage struct {
	Draining map[string]string `json:"d,omitempty"` // machine -> reason (domain.DrainIdle, ...)
	Gone     []string          `json:"g,omitempty"` // machines in the order in which they were found gone; the oldest entries are dropped first
}

// MachineTypePage is the value of b/flavors and of b/flavors/K: one page of the list of machine types
// that the cloud offers.
type MachineTypePage struct {
	Types []domain.MachineType `json:"f"`
	More  int                  `json:"m,omitempty"` // on the first page: number of further pages
}

// WindowRecord is the value of b/window/NODE: the data that a controller publishes to all others at
// the end of each learning window.
type WindowRecord struct {
	Sequence      uint64    `json:"q"` // number of the window, counted up
	Loads         []float64 `json:"x"` // expected delays of its machines that take tasks, s; a sample if there are too many for the value
	Passes        int       `json:"p"` // tasks passed to other shards during the window
	CriticWeights []float64 `json:"t"`
}
