package reservation

// Outcome is the result of requesting a share from an endpoint.
type Outcome int

// Outcomes of a Take.
const (
	// Granted means that the endpoint holds the share.
	Granted Outcome = iota
	// Refused means that the endpoint does not hold the share.
	Refused
	// Unknown means that the response was lost: the endpoint may hold the share.
	Unknown
)

// Kind is the kind of an action.
type Kind int

// Kinds of actions.
const (
	// Take requests the share from the endpoint.
	Take Kind = iota
	// Free frees the share, which the endpoint does not necessarily hold.
	Free
)

// Action is an operation on one share that the caller has to carry out.
type Action struct {
	Kind  Kind
	Share Share
}

// Phase is the state of a group.
type Phase int

// Phases of a group.
const (
	// Taking groups request one share after another.
	Taking Phase = iota
	// Held groups hold all their shares.
	Held
	// Dissolved groups have issued a Free for every share that may be held.
	Dissolved
)

// Group is one reservation over one or more endpoints. It is not safe for
// concurrent use.
type Group struct {
	shares []Share
	// requested is the number of shares that were requested: the first ones in
	// shares, and the only ones that may be held.
	requested int
	phase     Phase
}

// NewGroup returns a group that holds no share. The shares must be in the order of
// their endpoints' IDs, as returned by Plan.
func NewGroup(shares []Share) *Group { return &Group{shares: shares} }

// Phase returns the state of the group.
func (g *Group) Phase() Phase { return g.phase }

// Shares returns the group's shares, whether held or not.
func (g *Group) Shares() []Share { return g.shares }

// Begin returns the Take of the first share.
func (g *Group) Begin() []Action { return g.reserveNext() }

// HandleOutcome processes the outcome of the last Take and returns the next actions:
// the Take of the next share, or the Frees of all shares that may be held.
func (g *Group) HandleOutcome(o Outcome) []Action {
	if g.phase != Taking {
		return nil
	}
	if o != Granted {
		return g.Dissolve()
	}
	return g.reserveNext()
}

func (g *Group) reserveNext() []Action {
	if g.requested == len(g.shares) {
		g.phase = Held
		return nil
	}
	g.requested++
	return []Action{{Take, g.shares[g.requested-1]}}
}

// Dissolve returns the Frees of all shares that may be held, including one whose
// Take has no outcome yet. It is called after a refusal, the failure of a member
// endpoint, or the end of the request. A second call returns nothing.
func (g *Group) Dissolve() []Action {
	if g.phase == Dissolved {
		return nil
	}
	g.phase = Dissolved
	actions := make([]Action, 0, g.requested)
	for _, s := range g.shares[:g.requested] {
		actions = append(actions, Action{Free, s})
	}
	return actions
}
