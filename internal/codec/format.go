package codec

// CurrentFormat is the format that this version reads and, once it is on, writes: 2 has jobs
// that depend on others, and values that move when they are too large.
//
// Versions work side by side while controllers are replaced one by one, and a process that
// ends before its turn comes back as the version before. Nothing that the version before would
// misread is written until every controller of the settings has announced the format, each in
// a key of its own that is bound to no lease. A controller that has announced never comes back
// as an older one, so the leader then writes that the format is on, and it stays on.
const CurrentFormat = 2

// Format is the value of b/format, and of b/format/NODE with the incarnation of the controller
// that announces.
type Format struct {
	Version     int    `json:"v"`
	Incarnation string `json:"i,omitempty"`
}
