package workcost

// links are the neighbours of a kind in a list.
type links struct{ previous, next *Entry }

func allLinks(n *Entry) *links { return &n.all }
func ownLinks(n *Entry) *links { return &n.own }

// list lists kinds, the most recently used one first.
type list struct {
	first, last *Entry
	length      int
}

func (l *list) pushFront(n *Entry, of func(*Entry) *links) {
	*of(n) = links{next: l.first}
	if l.first != nil {
		of(l.first).previous = n
	} else {
		l.last = n
	}
	l.first = n
	l.length++
}

func (l *list) remove(n *Entry, of func(*Entry) *links) {
	at := of(n)
	if at.previous != nil {
		of(at.previous).next = at.next
	} else {
		l.first = at.next
	}
	if at.next != nil {
		of(at.next).previous = at.previous
	} else {
		l.last = at.previous
	}
	*at = links{}
	l.length--
}

func (l *list) toFront(n *Entry, of func(*Entry) *links) {
	if l.first != n {
		l.remove(n, of)
		l.pushFront(n, of)
	}
}
