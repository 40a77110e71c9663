// Package process runs the stand-ins of a settings file in one process, each with
// its own listener, and the control address.
package process

import (
	"fmt"

	"go.uber.org/zap"

	"ragwortshunt.example/standin/internal/engine"
	"ragwortshunt.example/standin/internal/fault"
	"ragwortshunt.example/standin/internal/platform"
	"ragwortshunt.example/standin/internal/record"
	"ragwortshunt.example/standin/internal/relay"
	"ragwortshunt.example/standin/internal/service"
	"ragwortshunt.example/standin/internal/settings"
)

// Process holds the running stand-ins and what they share.
type Process struct {
	log       *zap.Logger
	faults    *fault.Injector
	records   *record.Store
	listeners []*listener
	engines   []*engine.Engine
}

// Start starts the stand-ins and opens their listeners. On an error it closes
// everything. Call Close to stop them.
func Start(cfg settings.Settings, log *zap.Logger) (*Process, error) {
	p := &Process{log: log, faults: fault.New(), records: record.New()}
	p.addStandIns(cfg)
	for _, l := range p.listeners {
		if err := l.open(); err != nil {
			p.Close()
			return nil, fmt.Errorf("start %s: %w", l.name, err)
		}
	}
	return p, nil
}

func (p *Process) addStandIns(cfg settings.Settings) {
	if cfg.Platform != nil {
		pl := platform.New(*cfg.Platform, p.faults)
		p.addListener(settings.NamePlatform, cfg.Platform.Address, p.records.Wrap(settings.NamePlatform, pl.Handler()))
		p.addRelays(*cfg.Platform)
	}
	for _, c := range cfg.Engines {
		e := engine.New(c, p.faults, p.records)
		p.engines = append(p.engines, e)
		name := string(c.Name)
		l := p.addListener(name, c.Address, p.records.Wrap(name, e.Handler()))
		p.addDieHook(l, e.Reset)
	}
	for _, c := range cfg.Services {
		s := service.New(c, p.faults, p.records)
		name := string(c.Name)
		l := p.addListener(name, c.Address, p.records.Wrap(name, s))
		p.addDieHook(l, s.Reset)
	}
	if cfg.Control != "" {
		p.addListener(settings.NameControl, cfg.Control, p.controlHandler())
	}
}

// addRelays adds a listener for each relay.
func (p *Process) addRelays(cfg settings.Platform) {
	for _, r := range cfg.Relays {
		p.addListener("relay "+string(r.Host), r.Address, relay.New(r, cfg.Hosts, p.faults))
	}
}

// addDieHook makes the fault Die close the listener and call reset. The listener
// opens again when the fault ends.
func (p *Process) addDieHook(l *listener, reset func()) {
	p.faults.Hook(l.name, fault.Die, func(on bool) {
		if on {
			l.close()
			reset()
			return
		}
		if err := l.open(); err != nil {
			p.log.Error("standin: cannot listen again.", zap.String("name", l.name), zap.Error(err))
		}
	})
}

// Address returns the ip:port of the stand-in with the given name, or an empty
// string if there is none.
func (p *Process) Address(name string) string {
	for _, l := range p.listeners {
		if l.name == name {
			return l.currentAddress()
		}
	}
	return ""
}

// Close closes all listeners and stops the engines.
func (p *Process) Close() {
	for _, l := range p.listeners {
		l.close()
	}
	for _, e := range p.engines {
		e.Close()
	}
}
