package ingress

// Kinds of lists. A connection is in at most one list of each kind.
const (
	// phaseList is the kind of a listener's lists of idle and of incomplete connections.
	phaseList = iota
	// bodyList is the kind of Limiter.bodies.
	bodyList
	listKinds
)

// connList is a linked list of connections.
type connList struct {
	kind        int
	first, last *conn
}

type link struct {
	list       *connList
	prev, next *conn
}

func (l *connList) push(c *conn) {
	c.links[l.kind] = link{list: l, prev: l.last}
	if l.last == nil {
		l.first = c
	} else {
		l.last.links[l.kind].next = c
	}
	l.last = c
}

// unlink removes the connection from its list of a kind, if it is in one.
func (c *conn) unlink(kind int) {
	at := c.links[kind]
	if at.list == nil {
		return
	}
	if at.prev == nil {
		at.list.first = at.next
	} else {
		at.prev.links[kind].next = at.next
	}
	if at.next == nil {
		at.list.last = at.prev
	} else {
		at.next.links[kind].prev = at.prev
	}
	c.links[kind] = link{}
}
