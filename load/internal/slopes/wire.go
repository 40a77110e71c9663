package slopes

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
)

// incarnation has the encoded size of a real incarnation, which is a time in
// nanoseconds.
const incarnation id.Incarnation = 1_790_000_000_123_456_789

const (
	wireRequests   = 100
	wireDecodeTime = 13 * time.Second // 267 tokens, 51 ms apart
)

// batchBytes returns the size of the CBOR encoding of one batch of messages.
func batchBytes(messages ...message.Message) (int, error) {
	env := message.Envelope{From: "entry-0-000", Incarnation: incarnation}
	for _, m := range messages {
		env.Add(m)
	}
	data, err := cbor.Marshal(env)
	if err != nil {
		return 0, fmt.Errorf("encode batch: %w", err)
	}
	return len(data), nil
}

// wireSeries measures the encoded size of batches by the number of messages of one
// type. The slope is the size of a message, the intercept that of the envelope.
func wireSeries() ([]series, error) {
	r, err := newHostHarness(targetTopology())
	if err != nil {
		return nil, err
	}
	byKind := map[string][]message.Message{}
	r.record = true
	for range wireRequests {
		r.startRequest()
		r.run(core.DefaultTickInterval)
	}
	for range int(wireDecodeTime / time.Second) {
		r.decodeTokens()
		r.run(time.Second)
	}
	for _, req := range r.decoding {
		r.decodeToken(req, true)
	}
	for _, m := range slices.Concat(r.sent, r.received) {
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
	list, err := hostListSeries()
	return append(out, list), err
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
	name := fmt.Sprintf("bytes of a batch of %s (%.2f per request)", kind, float64(len(messages))/wireRequests)
	out := series{name: name, mechanism: "message.Envelope as CBOR", x: "messages", y: "bytes"}
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

// hostListSeries measures the encoded size of the platform's host list as a host
// reads it.
func hostListSeries() (series, error) {
	out := series{name: "host list", mechanism: "core.ListHosts, object.Hosts as JSON", x: "hosts", y: "bytes"}
	for _, n := range []int{10, 100, 311} {
		r := &hostHarness{topology: topology{zones: 9, hosts: n}, zones: map[id.Host]id.Zone{}}
		r.listHosts()
		data, err := json.Marshal(object.Hosts{Hosts: r.hosts})
		if err != nil {
			return out, fmt.Errorf("encode host list: %w", err)
		}
		out.points = append(out.points, point{float64(9 * n), float64(len(data))})
	}
	return out, nil
}
