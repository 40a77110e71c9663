// Package eventtest collects the events that an adapter posts to the decision
// core, for the tests of the adapters.
package eventtest

import (
	"testing"
	"time"

	"ragwortshunt.example/fleet/core"
)

// Timeout limits the wait for one event. It expires only in a failing test.
const Timeout = 10 * time.Second

// Events collects events. Its capacity must cover all events that a test does not
// read, because Post blocks when the channel is full.
type Events chan core.Event

// Post adds an event.
func (e Events) Post(ev core.Event) { e <- ev }

// Next returns the next event. It fails the test if none arrives within Timeout.
func (e Events) Next(t *testing.T) core.Event {
	t.Helper()
	select {
	case ev := <-e:
		return ev
	case <-time.After(Timeout):
		t.Fatal("no event within the timeout")
		return nil
	}
}
