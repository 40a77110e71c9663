package quarantine

import "ragwortshunt.example/fleet/id"

// endpointSet is a set of the endpoints that reports name, by their indexes in a suspectList.
type endpointSet [maxReports / 64]uint64

func (e *endpointSet) add(i int)      { e[i/64] |= 1 << (i % 64) }
func (e *endpointSet) has(i int) bool { return e[i/64]>>(i%64)&1 == 1 }

func (e *endpointSet) containsAll(other *endpointSet) bool {
	for i, word := range other {
		if word&^e[i] != 0 {
			return false
		}
	}
	return true
}

// suspectList holds suspects in the order in which they are considered.
type suspectList struct {
	list    []suspect
	indexes map[id.Endpoint]int // of the endpoints that reports name
	// crashers holds for each endpoint the suspects that have not been answered before and under
	// which it has broken off, by their indexes in list.
	crashers [][]int
}

func newSuspectList(list []suspect, indexes map[id.Endpoint]int) *suspectList {
	l := &suspectList{list: list, indexes: indexes, crashers: make([][]int, len(indexes))}
	for i := range list {
		if list[i].answered {
			continue
		}
		for e := range l.crashers {
			if list[i].crashed.has(e) {
				l.crashers[e] = append(l.crashers[e], i)
			}
		}
	}
	return l
}

// hasRival reports whether another suspect that has not been answered before explains all
// crashes of the i-th one.
func (l *suspectList) hasRival(i int) bool {
	x := &l.list[i]
	candidates := -1 // the endpoint with the fewest crashers
	for e := range l.crashers {
		if x.crashed.has(e) && (candidates < 0 || len(l.crashers[e]) < len(l.crashers[candidates])) {
			candidates = e
		}
	}
	for _, j := range l.crashers[candidates] {
		if j != i && l.list[j].crashed.containsAll(&x.crashed) {
			return true
		}
	}
	return false
}
