package limit

import (
	"fmt"
	"slices"

	"ragwortshunt.example/fleet/id"
)

// Check returns an error if an internal invariant is violated. Its cost grows with the
// number of buckets and requests. The first call after SetBudgets also checks every
// account.
func Check(s *State) error {
	if err := s.checkSplits(); err != nil {
		return err
	}
	for _, g := range s.groups {
		if err := s.checkGroup(g); err != nil {
			return fmt.Errorf("group %s: %w", g.name, err)
		}
	}
	return s.checkRequests()
}

func (s *State) checkSplits() error {
	if s.splitChecked {
		return nil
	}
	for _, account := range s.sortedAccounts() {
		if err := s.checkSplit(account); err != nil {
			return err
		}
	}
	s.splitChecked = true
	return nil
}

// checkSplit checks that the slots of all zones sum exactly to the budget.
func (s *State) checkSplit(account id.Account) error {
	want := s.budgets[account]
	var sum Budget
	for _, zone := range s.cfg.Zones {
		for _, sl := range zoneSlots(s.cfg, account, want, zone) {
			for _, p := range sl.parts {
				if p.Rate < 0 || p.Burst < 0 {
					return fmt.Errorf("account %s: negative share %+v", account, p)
				}
				sum.Rate += p.Rate
				sum.Burst += p.Burst
			}
		}
	}
	if sum != want {
		return fmt.Errorf("account %s: slots sum to %+v, budget is %+v", account, sum, want)
	}
	return nil
}

func (s *State) checkGroup(g *group) error {
	if g.frozen && !g.holdsAny() {
		return fmt.Errorf("frozen, but owns no part")
	}
	if g.verify && g.write == nil {
		return fmt.Errorf("verify is set without a pending write")
	}
	for k := range g.parts {
		p := &g.parts[k]
		if p.owned == (p.buckets == nil) {
			return fmt.Errorf("part %d: has buckets but is not owned, or is owned but has no buckets", k)
		}
		if !p.owned {
			continue
		}
		if len(p.buckets) != len(s.shares[g.index]) {
			return fmt.Errorf("part %d: %d buckets for %d shares", k, len(p.buckets), len(s.shares[g.index]))
		}
		for _, sh := range s.shares[g.index] {
			if err := p.buckets[sh.account].check(sh.parts[k]); err != nil {
				return fmt.Errorf("part %d, account %s: %w", k, sh.account, err)
			}
		}
	}
	return nil
}

func (b *bucket) check(want Budget) error {
	if b == nil {
		return fmt.Errorf("no bucket")
	}
	if b.rate != want.Rate || b.burst != want.Burst*nanotokensPerToken {
		return fmt.Errorf("rate %d and burst %d nanotokens, share is %+v", b.rate, b.burst, want)
	}
	if b.level < 0 || b.level > 0 && b.level+b.held > b.burst {
		return fmt.Errorf("level %d and held %d with burst %d nanotokens", b.level, b.held, b.burst)
	}
	var held int64
	for _, h := range b.holds {
		held += h.amount
	}
	if held != b.held {
		return fmt.Errorf("held is %d, holds sum to %d nanotokens", b.held, held)
	}
	return nil
}

func (s *State) checkRequests() error {
	earmarks := map[id.Account]int64{}
	for _, r := range s.pending {
		if s.requests[r.id] != r || r.admitted {
			return fmt.Errorf("request %s: pending, but admitted or unknown", r.id)
		}
		earmarks[r.account] += r.earmark
	}
	for account, n := range s.earmarked {
		if earmarks[account] != n {
			return fmt.Errorf("account %s: earmarked is %d, requests sum to %d tokens", account, n, earmarks[account])
		}
	}
	for _, r := range s.requests {
		if !r.admitted {
			continue
		}
		var sum int64
		for _, d := range r.draws {
			sum += d.tokens
		}
		for _, t := range r.transfers {
			sum += t.tokens
		}
		if sum > r.tokens {
			return fmt.Errorf("request %s: charged %d tokens, needs only %d", r.id, sum, r.tokens)
		}
	}
	return nil
}

func (s *State) sortedAccounts() []id.Account {
	out := make([]id.Account, 0, len(s.budgets))
	for account := range s.budgets {
		out = append(out, account)
	}
	slices.Sort(out)
	return out
}
