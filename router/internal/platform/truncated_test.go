package platform_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/rawhttp"
)

// TestTruncatedAnswers guards against an answer of the platform whose head or body was cut off
// and that is taken for an object, for a missing one or for the outcome of a write. JSON
// objects end by themselves, so that one may be used before the end of the body that it is in.
func TestTruncatedAnswers(t *testing.T) {
	for status, outcome := range map[string]object.WriteOutcome{
		"200 OK": object.WriteDone, "404 None": object.WriteUnknown, "409 Conflict": object.WriteConflict, "429 Slow": object.WriteFailed,
	} {
		answers := rawhttp.Framings("HTTP/1.1 "+status+"\r\n", `{"name":"n","version":12,"value":"aaaa"}`)
		if status != "200 OK" {
			answers = answers[:1] // the body is not read
		}
		for _, a := range answers {
			t.Run(strings.ReplaceAll(status, " ", "-")+"/"+a.Framing, func(t *testing.T) {
				t.Parallel()
				s, err := rawhttp.NewServer()
				assert.NilError(t, err)
				defer s.Close()
				r := newHarness(t, "http://"+s.Address(), time.Minute)
				for _, cut := range a.Cuts() {
					s.SetAnswer(cut.Text, cut.Reset)
					hasValue := strings.Contains(cut.Text, "}")
					r.Read(core.ReadObject{Kind: "lease", Name: "n"})
					read := r.events.Next(t).(core.ObjectRead)
					isFound := status == "200 OK" && hasValue && read.Version == 12 && string(read.Value) == "i\xa6\x9a"
					isMissing := status == "404 None" && cut.HasHead && read.Version == 0 && read.Value == nil
					assert.Assert(t, read.Failed || isFound || isMissing, "%q: %+v", cut.Text, read)
					r.Write(core.WriteObject{Kind: "lease", Name: "n", IfVersion: 1, Value: []byte("v")})
					wrote := r.events.Next(t).(core.ObjectWritten)
					isProved := wrote.Outcome == outcome && cut.HasHead && (outcome != object.WriteDone || hasValue)
					isComplete := !cut.Reset && cut.Text == a.Head+a.Body
					assert.Assert(t, isProved || wrote.Outcome == object.WriteUnknown && !isComplete, "%q: %+v", cut.Text, wrote)
				}
			})
		}
	}
}

// TestLargeHead guards against a head without end that exhausts the memory of the host.
func TestLargeHead(t *testing.T) {
	const head = 1 << 20 // bytes
	s, err := rawhttp.NewServer()
	assert.NilError(t, err)
	defer s.Close()
	s.SetAnswer("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", head)+"\r\n\r\n{\"name\":\"n\",\"version\":12}", false)
	r := newHarness(t, "http://"+s.Address(), time.Minute)
	r.Read(core.ReadObject{Kind: "lease", Name: "n"})
	assert.Assert(t, r.events.Next(t).(core.ObjectRead).Failed)
}
