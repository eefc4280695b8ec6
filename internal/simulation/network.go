package simulation

import "time"

// What becomes of messages between two sides that are cut off from each other.
const (
	cutDrops = "drop" // they are lost
	cutHolds = "hold" // they arrive when the cut is over
)

// Participants beside controllers and machines, which have their own names.
const (
	participantState = "state"
	participantCloud = "cloud"
	participantUsers = "users"
)

// network is what stands between the cluster's participants: cuts of links and of a whole zone.
type network struct {
	linkCuts   map[string]string   // mode of a cut, by link
	heldOnLink map[string][]func() // deliveries that wait for the end of a cut, by link

	cutOffZone string // a zone cut off from everything outside it; "": none
	zoneMode   string
	heldAtZone []func() // deliveries that wait for the end of the zone's cut
}

func newNetwork() network {
	return network{linkCuts: map[string]string{}, heldOnLink: map[string][]func(){}}
}

// linkKey names the linkKey between two participants, whichever comes first.
func linkKey(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "|" + b
}

// send delivers after a few milliseconds, unless a cut drops the message or holds it back.
func (c *Cluster) send(from, to string, deliver func()) {
	n := &c.network
	if n.cutOffZone != "" && c.isInCutOffZone(from) != c.isInCutOffZone(to) {
		if n.zoneMode == cutHolds {
			n.heldAtZone = append(n.heldAtZone, deliver)
		}
		return
	}
	key := linkKey(from, to)
	switch n.linkCuts[key] {
	case cutDrops:
		return
	case cutHolds:
		n.heldOnLink[key] = append(n.heldOnLink[key], deliver)
		return
	}
	c.after(time.Duration(1+c.rng.IntN(5))*time.Millisecond, deliver)
}

// call is a request with a time limit: serve answers it at its receiver, and done gets the
// answer, or nil when the limit passes first.
func (c *Cluster) call(from, to string, limit time.Duration, serve func(reply func(any)), done func(any)) {
	over := false
	finish := func(answer any) {
		if !over {
			over = true
			done(answer)
		}
	}
	c.send(from, to, func() {
		serve(func(answer any) {
			c.send(to, from, func() { finish(answer) })
		})
	})
	c.after(limit, func() { finish(nil) })
}

// cutLink cuts two participants off from each other for a while.
func (c *Cluster) cutLink(a, b, mode string, lasting time.Duration) {
	key := linkKey(a, b)
	c.network.linkCuts[key] = mode
	c.after(lasting, func() {
		delete(c.network.linkCuts, key)
		for _, deliver := range c.network.heldOnLink[key] {
			c.after(time.Millisecond, deliver)
		}
		delete(c.network.heldOnLink, key)
	})
}

// cutZone cuts the controllers and machines of a zone off from everything outside it.
func (c *Cluster) cutZone(zone, mode string, lasting time.Duration) {
	c.log("zone %s is cut off (%s)", zone, mode)
	c.network.cutOffZone, c.network.zoneMode = zone, mode
	c.faultsOverAt = max(c.faultsOverAt, c.Now+lasting)
	c.after(lasting, func() {
		c.network.cutOffZone = ""
		c.log("zone %s is back", zone)
		for _, deliver := range c.network.heldAtZone {
			c.after(time.Millisecond, deliver)
		}
		c.network.heldAtZone = nil
	})
}

// isInCutOffZone tells whether a controller or machine lies in the zone that is cut off.
func (c *Cluster) isInCutOffZone(name string) bool {
	if w := c.workersByName[name]; w != nil {
		return w.zone == c.network.cutOffZone
	}
	return c.settings.ZoneOf[name] == c.network.cutOffZone
}
