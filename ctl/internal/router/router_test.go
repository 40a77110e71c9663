package router_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/ctl/internal/router"
	"ragwortshunt.example/fleet/rawhttp"
)

// TestTruncatedAnswers guards against an answer whose head or body was cut off and that is
// taken for a record, or for the statement that a request is unknown.
func TestTruncatedAnswers(t *testing.T) {
	for _, status := range []string{"200 OK", "404 None", "503 Down"} {
		for _, a := range rawhttp.Framings("HTTP/1.1 "+status+"\r\n", `{"state":{"a":12}}`) {
			t.Run(strings.ReplaceAll(status, " ", "-")+"/"+a.Framing, func(t *testing.T) {
				t.Parallel()
				s, err := rawhttp.NewServer()
				assert.NilError(t, err)
				defer s.Close()
				for _, cut := range a.Cuts() {
					s.SetAnswer(cut.Text, cut.Reset)
					object, err := router.Explain(t.Context(), "http://"+s.Address(), "r-1")
					isRecord := status == "200 OK" && cut.Whole && cut.Payload == a.Payload
					assert.Assert(t, err != nil || isRecord && len(object) == 1, "%q: %v", cut.Text, object)
					assert.Assert(t, err == nil || !isRecord || cut.Reset, "%q: %v", cut.Text, err)
					isUnknown := status == "404 None" && cut.HasHead
					assert.Assert(t, !errors.Is(err, router.ErrUnknownRequest) || isUnknown, "%q: %v", cut.Text, err)
				}
			})
		}
	}
}
