package operator

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ragwortshunt.example/fleet/core"
)

const (
	// sampledFirst is the number of lines with one message that are written in each
	// second. A host serves some ten requests a second.
	sampledFirst = 500
	// sampledEach is the share of further lines with the message: one of so many.
	sampledEach = 100
)

// NewLogger returns a logger that writes JSON lines to standard output without ever
// blocking. Lines with one message that come in great numbers are thinned out, so that
// messages of failures are not lost among those of served requests. level is one of
// debug, info, warn and error.
func NewLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("operator: log level: %w", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	lines := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), NewSink(os.Stdout), l)
	return zap.New(zapcore.NewSamplerWithOptions(lines, time.Second, sampledFirst, sampledEach)), nil
}

// WriteLog writes a log line of the decision core. The part is the fixed prefix
// of the sentence.
func WriteLog(l *zap.Logger, e core.Log) {
	ce := l.Check(zapLevel(e.Level), e.Part+": "+e.Text)
	if ce == nil {
		return
	}
	var fields []zap.Field
	if e.Request != "" {
		fields = append(fields, zap.String("request-id", string(e.Request)))
	}
	if e.Host != "" {
		fields = append(fields, zap.String("peer", string(e.Host)))
	}
	if e.Code != "" {
		fields = append(fields, zap.String("code", e.Code))
	}
	if e.Account != "" {
		fields = append(fields, zap.String("account", string(e.Account)))
	}
	if e.Trace != "" {
		fields = append(fields, zap.String("trace", e.Trace))
	}
	ce.Write(fields...)
}

func zapLevel(l core.LogLevel) zapcore.Level {
	switch l {
	case core.LogDebug:
		return zapcore.DebugLevel
	case core.LogWarn:
		return zapcore.WarnLevel
	case core.LogError:
		return zapcore.ErrorLevel
	default:
		return zapcore.InfoLevel
	}
}
