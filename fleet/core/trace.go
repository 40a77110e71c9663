package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const microsPerMilli = 1000

// TraceLine describes one step of a request.
type TraceLine struct {
	AfterMS float64 `json:"after-ms"` // since arrival, in milliseconds
	Text    string  `json:"text"`
}

func (r *request) addTrace(now time.Time, format string, args ...any) {
	ms := float64(now.Sub(r.arrived).Microseconds()) / microsPerMilli
	line := TraceLine{AfterMS: ms, Text: fmt.Sprintf(format, args...)}
	r.trace = append(r.trace, line)
}

// resultFinished is the prefix of the results of requests whose response is complete.
const resultFinished = "finished"

// logEnd writes one log line with the trace and the result of a request.
func (s *step) logEnd(r *request, result string) {
	text := "Request ended."
	if strings.HasPrefix(result, resultFinished) {
		text = "Request served." // a message of its own, so that log sampling treats it separately
	}
	s.logTrace(r, text, result)
}

// logTrace writes one log line with the trace of a request.
func (s *step) logTrace(r *request, text, code string) {
	var trace strings.Builder
	for i, l := range r.trace {
		if i > 0 {
			trace.WriteString("; ")
		}
		trace.WriteString(strconv.FormatFloat(l.AfterMS, 'f', 1, 64))
		trace.WriteString(" ms ")
		trace.WriteString(l.Text)
	}
	s.emit(Log{
		Level: LogInfo, Component: partRequest, Text: text, Request: r.Request,
		Account: r.account, Code: code, Trace: trace.String(),
	})
}
