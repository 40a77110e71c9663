package process

import (
	"context"
	"fmt"
	"io"

	"go.uber.org/zap"

	"ragwortshunt.example/standin/inifile"
	"ragwortshunt.example/standin/internal/settings"
)

// Options holds the command-line options of the program.
type Options struct {
	Settings string    // path of the settings file
	Only     []string  // names of the stand-ins to run; empty means all
	Control  string    // control ip:port that overrides the settings; empty keeps theirs
	Ready    io.Writer // receives one line of JSON when all listeners are open
}

// Run runs the stand-ins until ctx is done.
func Run(ctx context.Context, opts Options) error {
	cfg, err := load(opts)
	if err != nil {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return fmt.Errorf("start log: %w", err)
	}
	defer log.Sync()
	p, err := Start(cfg, log)
	if err != nil {
		return err
	}
	defer p.Close()
	fmt.Fprintln(opts.Ready, `{"ready":true}`)
	<-ctx.Done()
	return nil
}

// load reads the settings and applies Only and Control.
func load(opts Options) (settings.Settings, error) {
	cfg, err := settings.Load(opts.Settings)
	if err != nil {
		return settings.Settings{}, err
	}
	if len(opts.Only) > 0 {
		cfg, err = cfg.Only(opts.Only)
		if err != nil {
			return settings.Settings{}, err
		}
	}
	if opts.Control == "" {
		return cfg, nil
	}
	if err := inifile.CheckLoopback(opts.Control); err != nil {
		return settings.Settings{}, fmt.Errorf("--control %s: %w", opts.Control, err)
	}
	cfg.Control = opts.Control
	return cfg, nil
}
