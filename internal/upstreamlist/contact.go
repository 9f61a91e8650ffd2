package upstreamlist

import "time"

// Contact says from which lists a process knows the entries of the store: an unbroken sequence of lists, of which no two neighbours are further apart than
// Options.LapseTime. Whoever read them, the store served entries all that time, so that an entry that one of them has and a later one lacks was removed
// because its upstream left.
type Contact struct {
	// Since is the store's revision at the first list of the sequence, and Revision at the last one.
	Since, Revision int64
	// SinceAt and ReadAt are when the first and the last of them began to be read.
	SinceAt, ReadAt time.Time
}

// continued returns next with the beginning of c, if c and next overlap or the time between them is at most gap.
func (c Contact) continued(next Contact, gap time.Duration) Contact {
	if c.Revision != 0 && next.SinceAt.Sub(c.ReadAt) <= gap && c.SinceAt.Before(next.SinceAt) {
		next.Since, next.SinceAt = c.Since, c.SinceAt
	}
	return next
}
