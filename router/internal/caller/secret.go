package caller

import (
	"net/url"
	"regexp"
	"strings"

	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/router/internal/inflight"
)

// keyPattern matches text that has the form of a key.
var keyPattern = regexp.MustCompile(`rws-[A-Za-z0-9][A-Za-z0-9._-]*-[a-z0-9]{26,}`)

// containsKey reports whether any of the texts, which an endpoint would receive,
// contains the presented key or another currently valid key. The secret part
// alone counts as the presented key, because it is still found when the hyphens
// of the key are percent-encoded.
func (s *Server) containsKey(presented string, texts ...string) bool {
	secret := presented[strings.LastIndexByte(presented, '-')+1:]
	for _, text := range texts {
		if secret != "" && strings.Contains(text, secret) {
			return true
		}
		if s.containsValidKey(text) {
			return true
		}
	}
	return false
}

func (s *Server) containsValidKey(text string) bool {
	snap := s.table.Load()
	if snap == nil {
		return false
	}
	for _, match := range keyPattern.FindAllString(text, -1) {
		if _, err := table.Authenticate(snap, match); err == nil {
			return true
		}
	}
	return false
}

// callContainsKey reports whether the path, the body or a header of a service call
// contains a key, as defined by containsKey.
func (s *Server) callContainsKey(c *inflight.Call, presented string) bool {
	texts := []string{c.Path, string(c.Body)}
	if decoded, err := url.QueryUnescape(c.Path); err == nil {
		texts = append(texts, decoded)
	}
	for _, values := range c.Header {
		texts = append(texts, values...)
	}
	return s.containsKey(presented, texts...)
}
