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

// containsKey tells whether any of the texts, which an endpoint would receive,
// contains the presented key or another key that is valid now. The secret alone
// counts as the key: it stays the same when the hyphens of a key are encoded.
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

// callContainsKey is containsKey for the call of a service.
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
