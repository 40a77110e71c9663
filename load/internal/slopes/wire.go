package slopes

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// incarnation has the size of a real one, which is a time in nanoseconds.
const incarnation id.Incarnation = 1_790_000_000_123_456_789

// batchBytes returns the encoded size of one batch.
func batchBytes(messages ...message.Message) (int, error) {
	env := message.Envelope{From: "entry-0-000", Incarnation: incarnation}
	for _, m := range messages {
		env.Add(m)
	}
	data, err := cbor.Marshal(env)
	if err != nil {
		return 0, fmt.Errorf("encode a batch: %w", err)
	}
	return len(data), nil
}

// wireSeries measures the size of batches by the number of messages of one kind.
// The slope is the size of a message, the intercept that of the envelope.
func wireSeries() ([]series, error) {
	r, err := newRig(targetShape())
	if err != nil {
		return nil, err
	}
	byKind := map[string][]message.Message{}
	r.record = true
	for range 100 {
		r.start()
		r.run(100 * time.Millisecond)
	}
	r.run(6 * time.Second / 2)
	for range 4 {
		r.tokens()
		r.run(time.Second)
	}
	for _, req := range r.open {
		r.token(req, true)
	}
	for _, m := range slices.Concat(r.sent, r.got) {
		kind := reflect.TypeOf(m).Name()
		byKind[kind] = append(byKind[kind], m)
	}
	var out []series
	for _, kind := range sortedKeys(byKind) {
		s, err := batchSeries(kind, byKind[kind])
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return append(out, r.countSeries(byKind, 100)), nil
}

func sortedKeys(m map[string][]message.Message) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func batchSeries(kind string, messages []message.Message) (series, error) {
	out := series{name: "bytes of a batch of " + kind, mechanism: "message.Envelope as CBOR", x: "messages", y: "bytes"}
	for _, n := range []int{1, 10, 100} {
		if n > len(messages) {
			break
		}
		size, err := batchBytes(messages[len(messages)-n:]...)
		if err != nil {
			return out, err
		}
		out.points = append(out.points, point{float64(n), float64(size)})
	}
	return out, nil
}

// countSeries lists the messages of one request; x is the rank of the kind.
func (r *rig) countSeries(byKind map[string][]message.Message, requests int) series {
	out := series{name: "messages per request, kinds in the order above", mechanism: "core.send", x: "(kind)", y: "messages"}
	for i, kind := range sortedKeys(byKind) {
		out.points = append(out.points, point{float64(i), float64(len(byKind[kind])) / float64(requests)})
	}
	return out
}
