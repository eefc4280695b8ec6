package tuning

import "time"

// Requests of users and workers.
const (
	// QueryTimeout ends the wait of a user's query for a confirmation that the cache is
	// current. Users wait 2 s.
	QueryTimeout = 1200 * time.Millisecond
	// RetryAfterSeconds is when clients that could not be served are asked to try again. It is
	// the smallest value that the header allows, since most causes are over by then.
	RetryAfterSeconds = 1
	// UserQueue is the largest number of user requests that wait for the scheduler. Beyond it
	// the answer is an immediate 503, which costs less than a late answer.
	UserQueue = 64
	// WorkerQueue is the largest number of heartbeats that wait for the scheduler, which allows
	// at least one for each machine of a controller, and the largest number of events that wait
	// in a separate queue.
	WorkerQueue = 256
	// CloseConnectionsPercent is the share of the process's sockets in use, in percent, above
	// which users' connections are closed after their answer. This leaves sockets for workers,
	// whose connections stay open.
	CloseConnectionsPercent = 70
	// RefuseUsersPercent is the share of the process's sockets in use, in percent, above which
	// users immediately get the response to come back later. The rest is for workers and for this
	// controller's own connections.
	RefuseUsersPercent = 92
	// ServerIdleTimeout closes an idle connection; workers send requests more often.
	ServerIdleTimeout = 40 * time.Second
	// HeaderTimeout closes a connection on which the header of a request doesn't arrive, so
	// that faulty clients can't occupy sockets forever.
	HeaderTimeout = 10 * time.Second
	// BodyLimit is the largest request body in bytes, by the protocol.
	BodyLimit = 64 << 10
)
