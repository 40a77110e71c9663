package operator

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ragwortshunt.example/fleet/core"
)

// NewLogger returns a logger that writes JSON lines to standard output. level is
// one of debug, info, warn and error.
func NewLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("operator: log level: %w", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.OutputPaths = []string{"stdout"}
	cfg.Sampling = nil
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	logger, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("operator: build logger: %w", err)
	}
	return logger, nil
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
