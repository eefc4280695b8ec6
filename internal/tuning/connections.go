package tuning

import "time"

// Peers and connections.
const (
	// PeerQueue bounds the frames waiting for one peer; older news is stale.
	PeerQueue = 8
	// PeerTimeout ends a connect or write to a peer.
	PeerTimeout = time.Second
	// PeerAck is how long a frame may lack its acknowledgement.
	PeerAck = 4 * time.Second
	// UsableFor is the age up to which an answered confirmation shows that the
	// state service answers this node.
	UsableFor = 3500 * time.Millisecond
	// StepBack is how long another node must be the better choice before this
	// one leaves the load balancer: in an outage for all, nodes notice it some
	// time after each other.
	StepBack = 2500 * time.Millisecond
	// PeerRetry is the pause after a failed one.
	PeerRetry = 500 * time.Millisecond
	// PeerIdle closes a link that says nothing.
	PeerIdle = 15 * time.Second
	// IdleConn is how long an idle client connection is trusted.
	IdleConn = 8 * time.Second
	// ClientConns bounds the connections of one client at a time.
	ClientConns = 8
	// DirectTimeout ends a direct order to a worker.
	DirectTimeout = 2 * time.Second
	// DirectAtOnce bounds direct orders under way.
	DirectAtOnce = 16
	// MemoryShare of the machine's memory is the collector's soft limit.
	MemoryShare = 0.55
	// MaxWorkerClients bounds the workers to which connections are remembered; beyond it
	// all are forgotten.
	MaxWorkerClients = 500
)
