package domain

// View is the value of b/view: what all controllers agree on about themselves. Each change
// raises the epoch.
type View struct {
	Epoch          uint64            `json:"e"`           // also the fencing token of this view
	Leader         string            `json:"l"`           // controller
	Members        map[string]string `json:"m"`           // controller -> incarnation
	Serving        []string          `json:"s"`           // controllers that own machines, sorted
	OwnerOverrides map[string]string `json:"o,omitempty"` // machine -> controller, where it isn't the one by hash
	OwnedByZone    bool              `json:"z,omitempty"` // zones are apart: machines belong to the serving controllers of their own
}
