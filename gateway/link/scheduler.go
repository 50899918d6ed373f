package link

import "time"

const (
	// ChunkSize is how much of a long response is sent at each of its turns, in bytes: 10 ms of a link of
	// 6.7 Mbit/s.
	ChunkSize = 8 << 10
	// turnBytes is how much of one long response is sent before those that wait for longer get their turns. Most
	// responses fit into it, so they end as early as if they were sent one after the other.
	turnBytes = 128 << 10
	// wireOverhead is the ratio of bytes on the wire to those written: 66 bytes of headers for each 1,448 of data.
	wireOverhead = 1.05
	// minAhead is how long the link has something to send when a turn is given, at least: timers are late by up to
	// some milliseconds.
	minAhead = 5 * time.Millisecond
	// maxTurnGap is the longest time between two chunks, in chunk times: long responses keep a fifth of a link that
	// short ones fill.
	maxTurnGap = 5
	// maxBacklog limits the time that counted responses may hold chunks up. Responses to callers that have left are
	// counted but not sent.
	maxBacklog = time.Second
)

// Scheduler decides when the next chunk of a long response may be sent, and of which response. It addresses long
// responses on slow links, which delay short ones by the time of whole bodies. Short responses are counted and
// never delayed. It is not safe for concurrent use.
type Scheduler struct {
	bytesPerSecond float64
	// idleAt is when the link will have sent all that was counted, and lastChunk when the last chunk was.
	idleAt    time.Time
	lastChunk time.Time
	turns     uint64
	waiting   []*Transfer
}

// Transfer is a long response that is being sent.
type Transfer struct {
	// turn is its place among the transfers: the number at which it began or was last put behind the others.
	turn uint64
	// sent is how many bytes it has sent since.
	sent int
	// size is the length of the next chunk, in bytes.
	size int
}

// NewScheduler returns the scheduler of a link of the given rate in bits per second; nil if the link is not slow.
func NewScheduler(rate int64) *Scheduler {
	if !Slow(rate) {
		return nil
	}
	return &Scheduler{bytesPerSecond: float64(rate) / 8 / wireOverhead}
}

// Count counts n bytes that are sent without a turn.
func (s *Scheduler) Count(now time.Time, n int) {
	if s.idleAt.Before(now) {
		s.idleAt = now
	}
	s.idleAt = s.idleAt.Add(s.timeOf(n))
	if limit := now.Add(max(maxBacklog, 2*s.timeOf(ChunkSize))); s.idleAt.After(limit) {
		s.idleAt = limit
	}
}

// Backlog returns how long the link takes to send what was counted, at most maxBacklog or two chunks.
func (s *Scheduler) Backlog(now time.Time) time.Duration { return max(s.idleAt.Sub(now), 0) }

// Begin returns a new transfer, behind all others.
func (s *Scheduler) Begin() *Transfer {
	s.turns++
	return &Transfer{turn: s.turns}
}

// Await enters a transfer for a turn of n bytes. It takes none while it is not entered.
func (s *Scheduler) Await(t *Transfer, n int) {
	t.size = n
	s.waiting = append(s.waiting, t)
}

// Withdraw removes a transfer that no longer waits.
func (s *Scheduler) Withdraw(t *Transfer) {
	for i, other := range s.waiting {
		if other == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// Next gives the next turn if it is due: to the first of the waiting transfers, which goes behind the others after
// turnBytes. Otherwise it returns when the next one is due, the zero time if no transfer waits.
func (s *Scheduler) Next(now time.Time) (*Transfer, time.Time) {
	if len(s.waiting) == 0 {
		return nil, time.Time{}
	}
	if due := s.due(); now.Before(due) {
		return nil, due
	}
	next := s.waiting[0]
	for _, t := range s.waiting[1:] {
		if t.turn < next.turn {
			next = t
		}
	}
	s.Withdraw(next)
	s.Count(now, next.size)
	s.lastChunk = now
	if next.sent += next.size; next.sent >= turnBytes {
		s.turns++
		next.turn, next.sent = s.turns, 0
	}
	return next, now
}

// due returns when at most one chunk, or minAhead, is left to be sent, so that the link does not run idle between two
// chunks.
func (s *Scheduler) due() time.Time {
	chunk := s.timeOf(ChunkSize)
	due := s.idleAt.Add(-max(chunk, minAhead))
	if latest := s.lastChunk.Add(maxTurnGap * chunk); latest.Before(due) {
		return latest
	}
	return due
}

func (s *Scheduler) timeOf(n int) time.Duration {
	return time.Duration(float64(n) / s.bytesPerSecond * float64(time.Second))
}
