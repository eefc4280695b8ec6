package domain

// View is the value of b/view: the cluster membership that all controllers agree on. Each change of it
// increases the epoch.
type View struct {
	Epoch          uint64            `json:"e"`           // also the fencing token of this view
	Leader         string            `json:"l"`           // the leading controller
	Members        map[string]string `json:"m"`           // controller -> incarnation
	Serving        []string          `json:"s"`           // controllers that own machines, sorted
	OwnerOverrides map[string]string `json:"o,omitempty"` // machine -> owner, where it differs from the owner by hash
	OwnedByZone    bool              `json:"z,omitempty"` // set while zones are cut off from each other: machines are owned by serving controllers of their own zone
}
