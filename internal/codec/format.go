package codec

// CurrentFormat is the format that this version reads, and writes once it is on. Format 2 adds jobs
// that depend on others, and values that are moved elsewhere when they get too large.
//
// During an upgrade controllers are replaced one by one, so two versions run side by side, and a
// process that ends before its replacement restarts as the previous version. Nothing that the
// previous version would misread is written until every controller in the settings has announced
// the format, each in a key of its own that is bound to no lease. A controller that has announced
// the format never restarts as an older version. So once all have announced it, the leader records
// that the format is on, and it stays on.
const CurrentFormat = 2

// Format is the value of b/format, and of b/format/NODE. The latter includes the incarnation of the
// controller that announces the format.
type Format struct {
	Version     int    `json:"v"`
	Incarnation string `json:"i,omitempty"`
}
