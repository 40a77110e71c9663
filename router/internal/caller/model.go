package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	restful "github.com/emicklei/go-restful/v3"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
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

// ask is one understood request.
type ask struct {
	route     string
	prompt    string
	maxTokens int64
	stream    bool
	chat      bool
}

func (s *Server) completions(req *restful.Request, w *restful.Response) {
	s.complete(w.ResponseWriter, req.Request, false)
}

func (s *Server) chatCompletions(req *restful.Request, w *restful.Response) {
	s.complete(w.ResponseWriter, req.Request, true)
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	presented := presentedKey(r.Header)
	key, body, ok := s.accept(w, r, presented)
	if !ok {
		return
	}
	a, err := parseAsk(body, chat, s.cfg.DefaultLimit)
	if err != nil {
		badRequest(w, http.StatusBadRequest, codeInvalidRequest, err.Error())
		return
	}
	if s.containsKey(presented, string(body), a.route, a.prompt) {
		badRequest(w, http.StatusBadRequest, codeKeyInRequest, textKeyInRequest)
		return
	}
	if !s.isModelRoute(a.route) {
		badRequest(w, http.StatusNotFound, core.CodeUnknownRoute, fmt.Sprintf("model %q does not exist", a.route))
		return
	}
	s.runModel(w, r, a, key)
}

// accept checks the presented key and reads the body. It answers the request and
// returns false if either fails.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, presented string) (table.Key, []byte, bool) {
	key, refused := s.authenticate(presented)
	if refused != nil {
		writeError(w, statusOf(refused.Code), *refused)
		return key, nil, false
	}
	body, ok := s.readBody(w, r)
	return key, body, ok
}

func (s *Server) isModelRoute(name string) bool {
	snap := s.table.Load()
	if snap == nil {
		return true // the decision core refuses it
	}
	route, ok := snap.Routes[id.Route(name)]
	return ok && route.Model != ""
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// The server would take the deadline of the body for the caller's end.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, true
	case errors.As(err, &tooLarge):
		badRequest(w, http.StatusRequestEntityTooLarge, codeBodyTooLarge,
			fmt.Sprintf("the body is larger than %d bytes", s.cfg.MaxBody))
	default:
		badRequest(w, http.StatusBadRequest, codeBodyUnreadable, "the body could not be read")
	}
	return nil, false
}

func parseAsk(body []byte, chat bool, defaultLimit int64) (ask, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return ask{}, fmt.Errorf("%w: the body is not valid JSON: %w", ErrCaller, err)
	}
	a := ask{route: c.Model, prompt: c.Prompt, stream: c.Stream, chat: chat, maxTokens: defaultLimit}
	if chat {
		a.prompt = joinMessages(c.Messages)
	}
	if c.MaxTokens != nil {
		a.maxTokens = *c.MaxTokens
	}
	switch {
	case a.route == "":
		return ask{}, fmt.Errorf("%w: model is missing", ErrCaller)
	case strings.TrimSpace(a.prompt) == "":
		return ask{}, fmt.Errorf("%w: the prompt is empty", ErrCaller)
	case a.maxTokens < 1 || a.maxTokens > maxOutputTokens:
		return ask{}, fmt.Errorf("%w: max_tokens must be between 1 and %d", ErrCaller, maxOutputTokens)
	}
	return a, nil
}

func joinMessages(messages []chatMessage) string {
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, m.Role+": "+m.Content)
	}
	return strings.Join(parts, "\n")
}

// promptPrefix returns the number of tokens of a prompt and the hash of its
// first memory block, which names the block in the cache events of engines. A
// word counts as one token. A prompt without a whole block has no prefix.
func promptPrefix(prompt string, blockTokens int64) (tokens int64, prefix uint64) {
	words := strings.Fields(prompt)
	if blockTokens > 0 && int64(len(words)) >= blockTokens {
		prefix = xxhash.Sum64String(strings.Join(words[:blockTokens], " "))
	}
	return int64(len(words)), prefix
}

// blockTokens returns the size of the memory blocks of the prefill engines that
// serve a route, or 0.
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

func (s *Server) runModel(w http.ResponseWriter, r *http.Request, a ask, key table.Key) {
	req := s.newRequest()
	tokens, prefix := promptPrefix(a.prompt, s.blockTokens(id.Route(a.route)))
	c := s.open(core.RequestArrived{
		Request: req, Route: id.Route(a.route), Account: key.Account, Key: key.ID,
		PromptTokens: tokens, MaxTokens: a.maxTokens, Prefix: prefix,
	}, &inflight.Item{Prompt: a.prompt})
	out := newAnswer(w, req, a)
	s.pump(r.Context(), req, c, out.handle)
}

// models lists the model routes that the caller may use: with a key all, without
// a key the open ones.
func (s *Server) models(req *restful.Request, w *restful.Response) {
	key, refused := s.authenticate(presentedKey(req.Request.Header))
	if refused != nil {
		writeError(w.ResponseWriter, statusOf(refused.Code), *refused)
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
