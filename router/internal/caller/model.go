package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	restful "github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/platform/exchange"
	"ragwortshunt.example/router/internal/inflight"
)

// maxOutputTokens is the largest output limit that a request may state.
const maxOutputTokens = 1 << 20

// completionRequest is the body of /v1/completions and /v1/chat/completions.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int64        `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// modelRequest holds the validated parameters of a completionRequest.
type modelRequest struct {
	route     string
	prompt    string
	maxTokens int64
	stream    bool
	chat      bool
}

func (s *Server) completions(req *restful.Request, w *restful.Response) {
	s.serveCompletion(w.ResponseWriter, req.Request, false)
}

func (s *Server) chatCompletions(req *restful.Request, w *restful.Response) {
	s.serveCompletion(w.ResponseWriter, req.Request, true)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	presented := presentedKey(r.Header)
	key, body, ok := s.authenticateAndReadBody(w, r, presented)
	if !ok {
		return
	}
	if memoryFrom(r.Context()).GrowRequest(promptCopies*len(body)) != nil {
		rejectForMemory(w)
		return
	}
	m, err := parseModelRequest(body, chat, s.cfg.DefaultMaxTokens)
	if err != nil {
		rejectRequest(w, http.StatusBadRequest, codeInvalidRequest, err.Error())
		return
	}
	if s.containsKey(presented, string(body), m.route, m.prompt) {
		rejectRequest(w, http.StatusBadRequest, codeKeyInRequest, textKeyInRequest)
		return
	}
	if !s.isModelRoute(m.route) {
		rejectRequest(w, http.StatusNotFound, core.CodeUnknownRoute, fmt.Sprintf("model %q does not exist", m.route))
		return
	}
	s.runModel(w, r, m, key)
}

// authenticateAndReadBody checks the presented key and reads the body. If either
// fails, it refuses the request and returns false.
func (s *Server) authenticateAndReadBody(w http.ResponseWriter, r *http.Request, presented string) (table.Key, []byte, bool) {
	key, apiErr := s.authenticate(presented)
	if apiErr != nil {
		writeError(w, statusOf(apiErr.Code), *apiErr)
		return key, nil, false
	}
	exchange.ClientFrom(r.Context()).SetAccount(key.Account)
	body, ok := s.readBody(w, r)
	return key, body, ok
}

func (s *Server) isModelRoute(name string) bool {
	snap := s.table.Load()
	if snap == nil {
		return true // the decision core refuses requests while there is no table
	}
	route, ok := snap.Routes[id.Route(name)]
	return ok && route.Model != ""
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	if lacksLength(r) {
		w.Header().Set("Connection", "close") // a body may follow
		rejectRequest(w, http.StatusLengthRequired, codeLengthRequired, "a request of HTTP/1.0 needs a Content-Length")
		return nil, false
	}
	if r.ContentLength > s.cfg.MaxBodyBytes {
		s.rejectBody(w, exchange.ClientFrom(r.Context()).BodyStatus(&http.MaxBytesError{Limit: s.cfg.MaxBodyBytes}))
		return nil, false
	}
	reader := http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes)
	body, err := memoryFrom(r.Context()).ReadBody(reader, r.ContentLength)
	if err != nil {
		s.rejectBody(w, exchange.ClientFrom(r.Context()).BodyStatus(err))
		return nil, false
	}
	// Clear the deadline of the body. Otherwise the server would treat its expiry as
	// a disconnect of the caller while the response is still pending.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, true
}

// rejectBody refuses a request whose body was not read.
func (s *Server) rejectBody(w http.ResponseWriter, status int) {
	switch status {
	case http.StatusRequestEntityTooLarge:
		rejectRequest(w, status, codeBodyTooLarge, fmt.Sprintf("the body is larger than %d bytes", s.cfg.MaxBodyBytes))
	case http.StatusServiceUnavailable:
		rejectForMemory(w)
	default:
		rejectRequest(w, http.StatusBadRequest, codeBodyUnreadable, "the body could not be read")
	}
}

// lacksLength reports whether a request of HTTP/1.0 may have a body but names no length.
// net/http takes it for one without a body, also if chunks follow.
func lacksLength(r *http.Request) bool {
	if r.ProtoAtLeast(1, 1) || r.Method == http.MethodGet || r.Method == http.MethodHead {
		return false
	}
	return r.Header.Get("Content-Length") == ""
}

func parseModelRequest(body []byte, chat bool, defaultLimit int64) (modelRequest, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return modelRequest{}, fmt.Errorf("%w: the body is not valid JSON: %w", ErrCaller, err)
	}
	m := modelRequest{route: c.Model, prompt: c.Prompt, stream: c.Stream, chat: chat, maxTokens: defaultLimit}
	if chat {
		m.prompt = joinMessages(c.Messages)
	}
	if c.MaxTokens != nil {
		m.maxTokens = *c.MaxTokens
	}
	switch {
	case m.route == "":
		return modelRequest{}, fmt.Errorf("%w: model is missing", ErrCaller)
	case strings.TrimSpace(m.prompt) == "":
		return modelRequest{}, fmt.Errorf("%w: the prompt is empty", ErrCaller)
	case m.maxTokens < 1 || m.maxTokens > maxOutputTokens:
		return modelRequest{}, fmt.Errorf("%w: max_tokens must be between 1 and %d", ErrCaller, maxOutputTokens)
	}
	return m, nil
}

func joinMessages(messages []chatMessage) string {
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, m.Role+": "+m.Content)
	}
	return strings.Join(parts, "\n")
}

// promptPrefix returns the number of tokens in a prompt and the hash of its first
// KV block, which identifies the block in the cache events of engines. A word
// counts as one token. The hash is 0 if the prompt does not fill a block.
func promptPrefix(prompt string, blockTokens int64) (tokens int64, prefix uint64) {
	var block []string // the words are not collected beyond it, since a prompt may have very many
	for word := range strings.FieldsSeq(prompt) {
		tokens++
		if tokens > blockTokens {
			continue
		}
		block = append(block, word)
		if tokens == blockTokens {
			prefix = xxhash.Sum64String(strings.Join(block, " "))
		}
	}
	return tokens, prefix
}

// blockTokens returns the KV block size, in tokens, of the prefill engines that
// serve a route. It is 0 if there is none.
func (s *Server) blockTokens(route id.Route) int64 {
	snap := s.table.Load()
	if snap == nil {
		return 0
	}
	for _, pool := range snap.Pools {
		if pool.Role == table.RolePrefill && pool.Model == snap.Routes[route].Model {
			return pool.BlockTokens
		}
	}
	return 0
}

func (s *Server) runModel(w http.ResponseWriter, r *http.Request, m modelRequest, key table.Key) {
	req := s.newRequestID()
	tokens, prefix := promptPrefix(m.prompt, s.blockTokens(id.Route(m.route)))
	session := s.openSession(core.RequestArrived{
		Request: req, Route: id.Route(m.route), Account: key.Account, Key: key.ID,
		PromptTokens: tokens, MaxTokens: m.maxTokens, Prefix: prefix,
	}, &inflight.Item{Prompt: m.prompt, Memory: memoryFrom(r.Context())}, memoryFrom(r.Context()))
	writer := newCompletionWriter(w, req, m)
	s.processEffects(r.Context(), req, session, writer.handle)
}

// models lists the model routes that the caller may use: all of them with a valid
// key, only the open ones without a key.
func (s *Server) models(req *restful.Request, w *restful.Response) {
	key, apiErr := s.authenticate(presentedKey(req.Request.Header))
	if apiErr != nil {
		writeError(w.ResponseWriter, statusOf(apiErr.Code), *apiErr)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	if snap := s.table.Load(); snap != nil {
		for name, route := range snap.Routes {
			if route.Model != "" && (route.Open || key.ID != "") {
				list.Data = append(list.Data, model{ID: string(name), Object: "model"})
			}
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	w.ResponseWriter.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w.ResponseWriter).Encode(list)
}
