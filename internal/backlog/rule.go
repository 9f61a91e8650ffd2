package backlog

import "github.com/fulmardoor/fulmardoor/internal/placement"

// HeldBack reports whether a request leaves capacity to more urgent requests that wait at other processes, and returns their
// demand: the engines must have room for more requests than those. Room is counted in requests of the size of this one, or of
// the mean size of the more urgent ones if that is larger; otherwise small requests would take each part of the memory that a
// large urgent request waits for. A nil backlog holds nothing back.
func (b *Backlog) HeldBack(board *placement.Board, query placement.Query, priority int) (moreUrgent Demand, held bool) {
	if b == nil {
		return Demand{}, false
	}
	moreUrgent = b.MoreUrgent(query.Service.Name, priority, query.Now)
	if moreUrgent.Requests == 0 {
		return Demand{}, false
	}
	size := max(query.PromptTokens+query.OutputTokens, moreUrgent.MemoryTokens/moreUrgent.Requests)
	query.PromptTokens, query.OutputTokens = size, 0
	return moreUrgent, board.Room(query) <= moreUrgent.Requests
}
