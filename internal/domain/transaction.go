package domain

// KeyValue is an item of the state service.
type KeyValue struct {
	Key         string
	Value       []byte // nil: deleted
	ModRevision uint64 // revision of its last change
}

// Condition of a transaction: the key was last changed at that revision; 0: it doesn't exist.
type Condition struct {
	Key         string
	ModRevision uint64
}

// Put is a change of a transaction.
type Put struct {
	Key     string
	Value   []byte // nil: delete
	LeaseID uint64 // the key goes when this lease expires; 0: it stays
}

// Transaction is a compare-and-swap on several keys: all puts are carried out if all
// conditions hold, else none.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
}

// CommitResult is what became of a transaction.
type CommitResult int

// The results of a transaction.
const (
	Committed CommitResult = iota
	Conflict               // a condition didn't hold
	Refused                // not executed (429, 503, 400)
	InDoubt                // may have been executed or may yet be
)
