// Package process runs the stand-ins of one process: their listeners and the
// control address.
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

// Process holds the running stand-ins.
type Process struct {
	log       *zap.Logger
	faults    *fault.Switches
	records   *record.Store
	listeners []*listener
	engines   []*engine.Engine
}

// Start opens all listeners. On an error it leaves none open.
func Start(cfg settings.Settings, log *zap.Logger) (*Process, error) {
	p := &Process{log: log, faults: fault.New(), records: record.New()}
	p.add(cfg)
	for _, l := range p.listeners {
		if err := l.open(); err != nil {
			p.Close()
			return nil, fmt.Errorf("start %s: %w", l.name, err)
		}
	}
	return p, nil
}

func (p *Process) add(cfg settings.Settings) {
	if cfg.Platform != nil {
		pl := platform.New(*cfg.Platform, p.faults)
		p.listen(settings.NamePlatform, cfg.Platform.Address, p.records.Wrap(settings.NamePlatform, pl.Handler()))
		p.addRelays(*cfg.Platform)
	}
	for _, c := range cfg.Engines {
		e := engine.New(c, p.faults, p.records)
		p.engines = append(p.engines, e)
		name := string(c.Name)
		l := p.listen(name, c.Address, p.records.Wrap(name, e.Handler()))
		p.mortal(l, e.Reset)
	}
	for _, c := range cfg.Services {
		s := service.New(c, p.faults, p.records)
		name := string(c.Name)
		l := p.listen(name, c.Address, p.records.Wrap(name, s))
		p.mortal(l, s.Reset)
	}
	if cfg.Control != "" {
		p.listen(settings.NameControl, cfg.Control, p.control())
	}
}

// addRelays adds the relays in front of the hosts that have one.
func (p *Process) addRelays(cfg settings.Platform) {
	for _, r := range cfg.Relays {
		p.listen("relay "+string(r.Host), r.Address, relay.New(r, cfg.Hosts, p.faults))
	}
}

// mortal makes the fault die close the listener and drop the state behind it.
func (p *Process) mortal(l *listener, reset func()) {
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

// Address returns the ip:port at which the stand-in name listens, or nothing.
func (p *Process) Address(name string) string {
	for _, l := range p.listeners {
		if l.name == name {
			return l.current()
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
