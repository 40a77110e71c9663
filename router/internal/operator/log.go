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
	// sampleFirst is the number of lines with the same message that are written in each
	// second without sampling. A host serves about ten requests per second.
	sampleFirst = 500
	// sampleThereafter is the sampling ratio beyond sampleFirst: one of every
	// sampleThereafter lines is written.
	sampleThereafter = 100
)

// NewLogger returns a logger that writes JSON lines to standard output and never blocks
// its callers. Frequent lines with the same message are sampled, so that messages about
// failures are not lost among those about served requests. level is one of
// debug, info, warn and error.
func NewLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("operator: log level: %w", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	jsonCore := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), NewSink(os.Stdout), l)
	return zap.New(zapcore.NewSamplerWithOptions(jsonCore, time.Second, sampleFirst, sampleThereafter)), nil
}

// WriteLog writes a log line of the decision core. The message is the name of the core's
// component (e.Component) and the text, joined by a colon. Empty fields are omitted.
func WriteLog(l *zap.Logger, e core.Log) {
	ce := l.Check(zapLevel(e.Level), e.Component+": "+e.Text)
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

// zapLevel maps unknown levels to info.
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
