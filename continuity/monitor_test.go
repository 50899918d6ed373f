package continuity_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/continuity"
)

// Guards against a pause that is not found because one of the clocks did not advance, or found more than once.
func TestPauseBeginsANewRun(t *testing.T) {
	for name, pause := range map[string]func(*clock.Manual, time.Duration){
		"stopped": (*clock.Manual).Advance, "suspended": (*clock.Manual).Suspend,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &clock.Manual{}
			var pauses []time.Duration
			m := continuity.New(c, func(length time.Duration) { pauses = append(pauses, length) })
			is.Equal(m.Current(), continuity.Run{})
			pause(c, 7*time.Second)
			run := m.Current()
			is.Equal(run, continuity.Run{Number: 1, Began: c.Now()})
			is.Equal(m.Current(), run)
			is.Equal(pauses, []time.Duration{7 * time.Second})
			pause(c, continuity.MinPause)
			is.Equal(m.Current().Number, uint64(2))
			count, total := m.Paused()
			is.Equal(count, uint64(2))
			is.Equal(total, 8*time.Second)
		})
	}
}

// Guards against a process that counts as paused because it is slow, or has run for long.
func TestSlowProcessIsNotPaused(t *testing.T) {
	is := is.New(t)
	c := &clock.Manual{}
	m := continuity.New(c, nil)
	for range 100 {
		c.Advance(continuity.MinPause - time.Millisecond)
		is.Equal(m.Current().Number, uint64(0))
	}
}
