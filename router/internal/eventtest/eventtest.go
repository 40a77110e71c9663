// Package eventtest collects the events that a shell posts, for the tests of the
// shells.
package eventtest

import (
	"testing"
	"time"

	"ragwortshunt.example/fleet/core"
)

// Timeout bounds the wait for one event; it only ends a failing test.
const Timeout = 10 * time.Second

// Events collects events. It must have room for all that a test does not read.
type Events chan core.Event

// Post takes an event.
func (e Events) Post(ev core.Event) { e <- ev }

// Next returns the next event and fails the test if none comes.
func (e Events) Next(t *testing.T) core.Event {
	t.Helper()
	select {
	case ev := <-e:
		return ev
	case <-time.After(Timeout):
		t.Fatal("no event")
		return nil
	}
}
