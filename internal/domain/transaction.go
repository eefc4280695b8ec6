package domain

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key         string
	Value       []byte // nil: the key was deleted
	ModRevision uint64 // revision of the last change of the key
}

// Condition is a condition of a transaction: the key was last changed at the given revision. 0 means
// that the key does not exist.
type Condition struct {
	Key         string
	ModRevision uint64
}

// Put is a change that a transaction makes.
type Put struct {
	Key     string
	Value   []byte // nil: delete the key
	LeaseID uint64 // the key is deleted when this lease expires; 0: no lease
}

// Transaction is a compare-and-swap on several keys: all puts are carried out if all conditions
// hold, otherwise none.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
}

// CommitResult is the outcome of a transaction, as far as the controller knows it.
type CommitResult int

// The outcomes of a transaction.
const (
	Committed CommitResult = iota
	Conflict               // not executed: a condition did not hold
	Refused                // not executed: the state service rejected the request (status 429, 503 or 400)
	InDoubt                // outcome unknown: it may have been executed, or may be executed later
)
