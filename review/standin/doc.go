// Package standin holds the stand-ins of the review's cases: the state service, the cloud, the
// workers and the users, each as PROTOCOL-brassglade.md describes it, on loopback sockets and the
// real clock. It also starts the controllers as processes of their own and judges the rules by what
// clients and workers see.
//
// What the protocol leaves open the stand-ins choose in the controllers' favour. Unless a case asks
// for it, nothing is refused, late or lost.
package standin
