package schedule

import "cmp"

// entryHeap is a heap of the requests of a lane, ordered by latest start.
type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].latestStart, h[j].latestStart), cmp.Compare(h[i].request, h[j].request)) < 0
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].laneIndex = i
	h[j].laneIndex = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.laneIndex = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.laneIndex = -1
	return e
}

// queueDeadlineHeap is a heap of all queued requests, ordered by queue deadline.
type queueDeadlineHeap []*entry

func (h queueDeadlineHeap) Len() int { return len(h) }

func (h queueDeadlineHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].queueDeadline, h[j].queueDeadline), cmp.Compare(h[i].request, h[j].request)) < 0
}

func (h queueDeadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueDeadlineIndex = i
	h[j].queueDeadlineIndex = j
}

func (h *queueDeadlineHeap) Push(x any) {
	e := x.(*entry)
	e.queueDeadlineIndex = len(*h)
	*h = append(*h, e)
}

func (h *queueDeadlineHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.queueDeadlineIndex = -1
	return e
}

// laneHeap is a heap of the lanes of a class, ordered by virtual time, then by latest
// start.
type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }

func (h laneHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.bucket != b.bucket {
		return a.bucket < b.bucket
	}
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	return a.headRequest < b.headRequest
}

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(*h)
	*h = append(*h, l)
}

func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	l.index = -1
	return l
}
