package domain

// View is the value of the view key.
type View struct {
	Epoch          uint64            `json:"e"`
	Leader         string            `json:"l"`
	Members        map[string]string `json:"m"` // node -> incarnation
	Serving        []string          `json:"s"` // sorted
	OwnerOverrides map[string]string `json:"o,omitempty"`
	Zoned          bool              `json:"z,omitempty"` // zones are apart: machines belong to the serving nodes of their own
}
