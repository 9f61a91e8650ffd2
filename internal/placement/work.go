package placement

// Work is the contribution of one request to the in-flight work at an upstream, from BeginRun until End.
type Work struct {
	board *Board
	state *state
	share Share // the part currently added to the state's own work
	// probe is set while the request tests whether a suspected upstream answers again.
	probe bool
	// SolePrefill is set if no other prompt was being prefilled at the upstream when this one began.
	SolePrefill bool
}

// BeginRun counts a running request and the memory that it is expected to use at an engine, in tokens.
func (b *Board) BeginRun(id string, memory int) *Work {
	w := &Work{board: b}
	b.mu.Lock()
	w.state = b.states[id]
	if w.state != nil && w.state.suspectCount > 0 {
		w.probe = true
		w.state.probes++
	}
	w.countLocked(Share{Running: 1, Memory: memory})
	b.mu.Unlock()
	b.ownChanged()
	return w
}

// countLocked replaces the counted work of the request.
func (w *Work) countLocked(share Share) {
	if w.state == nil {
		return
	}
	w.state.own.add(w.share, -1)
	w.state.own.add(share, 1)
	if share != w.share {
		w.board.ownChangedAt[w.state.info.ID] = true
	}
	w.share = share
}

// GrowMemory raises the memory that the request is expected to use. A lower value, or a call after End, is ignored.
func (w *Work) GrowMemory(memory int) {
	w.board.mu.Lock()
	defer w.board.mu.Unlock()
	if memory > w.share.Memory && w.share.Running > 0 {
		share := w.share
		share.Memory = memory
		w.countLocked(share)
	}
}

// BeginPrefill counts the prefill of a prompt.
func (w *Work) BeginPrefill(tokens int) {
	w.board.mu.Lock()
	defer w.board.mu.Unlock()
	share := w.share
	if w.state != nil {
		w.SolePrefill = w.state.own.Prefills+w.state.others.Prefills == 0
	}
	share.Prefills, share.PrefillTokens = 1, tokens
	w.countLocked(share)
}

// EndPrefill stops counting the prefill.
func (w *Work) EndPrefill() {
	w.board.mu.Lock()
	share := w.share
	share.Prefills, share.PrefillTokens = 0, 0
	w.countLocked(share)
	w.board.mu.Unlock()
	w.board.ownChanged()
	w.board.capacityChanged()
}

// End stops counting the request. It may be called more than once.
func (w *Work) End() {
	w.board.mu.Lock()
	if w.probe {
		w.probe = false
		w.state.probes = max(0, w.state.probes-1)
	}
	w.countLocked(Share{})
	w.board.mu.Unlock()
	w.board.ownChanged()
	w.board.capacityChanged()
}
