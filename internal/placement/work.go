package placement

// Work is a request's part of an upstream's load, counted from BeginRun until End.
type Work struct {
	board *Board
	state *state
	share Share // as counted now
	// probe is set while the request finds out whether a suspected upstream answers.
	probe bool
	// Alone reports whether no other prompt was under way when this one began.
	Alone bool
}

// BeginRun counts a running request, with the tokens that it is expected to fill in an engine's memory.
func (b *Board) BeginRun(id string, memory int) *Work {
	w := &Work{board: b}
	b.mu.Lock()
	w.state = b.states[id]
	if w.state != nil && w.state.suspicions > 0 {
		w.probe = true
		w.state.probes++
	}
	w.countLocked(Share{Running: 1, Memory: memory})
	b.mu.Unlock()
	b.ownChanged()
	return w
}

// countLocked replaces what is counted.
func (w *Work) countLocked(share Share) {
	if w.state == nil {
		return
	}
	w.state.own.add(w.share, -1)
	w.state.own.add(share, 1)
	w.share = share
}

// Grow raises the memory that the request is expected to fill.
func (w *Work) Grow(memory int) {
	w.board.mu.Lock()
	defer w.board.mu.Unlock()
	if memory > w.share.Memory && w.share.Running > 0 {
		share := w.share
		share.Memory = memory
		w.countLocked(share)
	}
}

// BeginRead counts a prompt under way.
func (w *Work) BeginRead(tokens int) {
	w.board.mu.Lock()
	defer w.board.mu.Unlock()
	share := w.share
	if w.state != nil {
		w.Alone = w.state.own.Reading+w.state.others.Reading == 0
	}
	share.Reading, share.ReadTokens = 1, tokens
	w.countLocked(share)
}

// EndRead ends the prompt.
func (w *Work) EndRead() {
	w.board.mu.Lock()
	share := w.share
	share.Reading, share.ReadTokens = 0, 0
	w.countLocked(share)
	w.board.mu.Unlock()
	w.board.ownChanged()
	w.board.roomChanged()
}

// End ends the request. It may be called more than once.
func (w *Work) End() {
	w.board.mu.Lock()
	if w.probe {
		w.probe = false
		w.state.probes = max(0, w.state.probes-1)
	}
	w.countLocked(Share{})
	w.board.mu.Unlock()
	w.board.ownChanged()
	w.board.roomChanged()
}
