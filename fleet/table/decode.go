package table

import (
	"crypto/sha256"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

// The accepted sizes of a salt, in bytes.
const (
	minSaltBytes = 8
	maxSaltBytes = 64
)

// decode decodes one row into the snapshot. The kind must be valid.
func (p *parser) decode(kind Kind, f *fields) {
	switch kind {
	case KindAccount:
		p.decodeAccount(f)
	case KindPool:
		p.decodePool(f)
	case KindEndpoint:
		p.decodeEndpoint(f)
	case KindRoute:
		p.decodeRoute(f)
	case KindKey:
		p.decodeKey(f)
	}
}

func (p *parser) decodeAccount(f *fields) {
	a := Account{
		Name:   id.Account(f.name(colName)),
		Weight: f.integer(weightColumn),
		Rate:   f.integer(rateColumn),
		Burst:  f.integer(burstColumn),
	}
	f.checkUnused()
	p.snap.Accounts[a.Name] = a
}

func (p *parser) decodePool(f *fields) {
	r := Pool{
		Name: id.Pool(f.name(colName)),
		Role: Role(f.choice(colRole, "", string(RolePrefill), string(RoleDecode), string(RoleService))),
	}
	switch r.Role {
	case RolePrefill, RoleDecode, RoleService:
		f.subject = "a " + string(r.Role) + " pool"
	default:
		return
	}
	r.Slots = f.integer(slotsColumn)
	r.MaxQueue = f.integer(maxQueueColumn)
	if r.Role != RoleService {
		r.Model = id.Model(f.name(colModel))
		r.Blocks = f.integer(blocksColumn)
		r.BlockTokens = f.integer(blockTokensColumn)
		r.LinkRate = f.integer(linkRateColumn)
	}
	if r.Role == RolePrefill {
		r.PrefillRate = f.integer(prefillRateColumn)
	}
	f.checkUnused()
	p.snap.Pools[r.Name] = r
}

func (p *parser) decodeEndpoint(f *fields) {
	e := Endpoint{
		Name:    id.Endpoint(f.name(colName)),
		Pool:    id.Pool(f.reference(colPool, KindPool)),
		Zone:    id.Zone(f.name(colZone)),
		Address: f.address(colAddress),
		Fencing: Fencing(f.choice(colFencing, string(FencingIgnored), string(FencingChecked), string(FencingIgnored))),
		State:   State(f.choice(colState, string(StateActive), string(StateActive), string(StateLeaving))),
	}
	f.checkUnused()
	p.checkAddress(f, e)
	p.snap.Endpoints[e.Name] = e
}

// checkAddress adds an error if another endpoint has the same address: the capacity
// at this address would be counted twice.
func (p *parser) checkAddress(f *fields, e Endpoint) {
	if e.Address == "" {
		return
	}
	other, ok := p.addresses[e.Address]
	if ok && other != e.Name {
		first := p.rows[RowName{KindEndpoint, string(other)}]
		f.addErrorf(colAddress, "endpoint %q in %s has the same address", other, p.describeRow(f.pos, first))
		return
	}
	p.addresses[e.Address] = e.Name
}

func (p *parser) decodeRoute(f *fields) {
	r := Route{
		Name:         id.Route(f.name(colName)),
		Class:        message.ClassInteractive,
		Open:         f.flag(colOpen, false),
		MaxStaleness: f.duration(stalenessColumn, unitStaleness),
	}
	if f.choice(colClass, classInteractive, classInteractive, classDeferrable) == classDeferrable {
		r.Class = message.ClassDeferrable
	}
	p.decodeRouteAccount(f, &r)
	model, pool := f.text(colModel), f.text(colPool)
	switch {
	case model == "" && pool == "":
		f.addErrorf("", "a route needs a model or a pool")
		return
	case model != "" && pool != "":
		f.addErrorf("", "a route has either a model or a pool, not both")
		return
	case model != "":
		f.subject = "a model route"
		p.decodeModelRoute(f, &r)
	default:
		f.subject = "a service route"
		r.Pool = id.Pool(f.reference(colPool, KindPool))
		r.Idempotent = f.flag(colIdempotent, false)
	}
	f.checkUnused()
	p.snap.Routes[r.Name] = r
}

func (p *parser) decodeRouteAccount(f *fields, r *Route) {
	switch {
	case r.Open && f.text(colAccount) == "":
		f.addErrorf(colAccount, "an open route needs the account that its requests run for")
	case r.Open:
		r.Account = id.Account(f.reference(colAccount, KindAccount))
	case f.text(colAccount) != "":
		f.addErrorf(colAccount, "only an open route has an account; requests on other routes run for the account of their key")
	}
}

// decodeModelRoute decodes the columns of a model route. Requests to models are always
// idempotent.
func (p *parser) decodeModelRoute(f *fields, r *Route) {
	r.Model = id.Model(f.name(colModel))
	r.FirstToken = f.duration(firstTokenColumn, unitTarget)
	r.BetweenTokens = f.duration(betweenTokensColumn, unitTarget)
	r.CanWait = f.flag(colCanWait, false)
	r.MaxTokens = f.integer(maxTokensColumn)
	r.Idempotent = true
}

func (p *parser) decodeKey(f *fields) {
	k := Key{
		ID:      id.KeyID(f.name(colName)),
		Account: id.Account(f.reference(colAccount, KindAccount)),
		Salt:    f.hexBytes(colSalt, minSaltBytes, maxSaltBytes),
		Hash:    f.hexBytes(colHash, sha256.Size, sha256.Size),
		State:   State(f.choice(colState, string(StateActive), string(StateActive), string(StateWithdrawn))),
	}
	f.checkUnused()
	p.snap.Keys[k.ID] = k
}
