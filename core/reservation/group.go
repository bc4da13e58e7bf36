package reservation

// Outcome is what became of asking an endpoint for a share.
type Outcome int

// The outcomes.
const (
	// Granted says that the endpoint holds the share.
	Granted Outcome = iota
	// Refused says that it holds nothing.
	Refused
	// Unknown says that the answer was lost: it may hold the share.
	Unknown
)

// Kind is what is to be done next.
type Kind int

// The kinds of actions.
const (
	// Take asks the endpoint for the share.
	Take Kind = iota
	// Free gives the share back; it may not be held.
	Free
)

// Action is a Take or a Free of one share.
type Action struct {
	Kind  Kind
	Share Share
}

// Phase is how far a group is.
type Phase int

// The phases.
const (
	// Taking asks for one share after another.
	Taking Phase = iota
	// Held has all shares.
	Held
	// Dissolved has given back every share that may be held.
	Dissolved
)

// Group is one reservation over one or more endpoints. It is not safe for
// concurrent use.
type Group struct {
	shares []Share
	// asked is the number of shares that were asked for, which are those that
	// may be held.
	asked int
	phase Phase
}

// NewGroup returns a group that holds nothing. The shares must be in the order
// of their endpoints' ids, as those of Plan.
func NewGroup(shares []Share) *Group { return &Group{shares: shares} }

// Phase is how far the group is.
func (g *Group) Phase() Phase { return g.phase }

// Shares lists the group's shares.
func (g *Group) Shares() []Share { return g.shares }

// Begin asks for the first share.
func (g *Group) Begin() []Action { return g.take() }

// Answered notes the outcome of the last Take: the next share is asked for, or
// all that may be held is given back.
func (g *Group) Answered(o Outcome) []Action {
	if g.phase != Taking {
		return nil
	}
	if o != Granted {
		return g.Dissolve()
	}
	return g.take()
}

func (g *Group) take() []Action {
	if g.asked == len(g.shares) {
		g.phase = Held
		return nil
	}
	g.asked++
	return []Action{{Take, g.shares[g.asked-1]}}
}

// Dissolve gives everything back that may be held: after a refusal, a member's
// death, or the end of the request. A share whose Take is not answered yet is
// among it.
func (g *Group) Dissolve() []Action {
	if g.phase == Dissolved {
		return nil
	}
	g.phase = Dissolved
	actions := make([]Action, 0, g.asked)
	for _, s := range g.shares[:g.asked] {
		actions = append(actions, Action{Free, s})
	}
	return actions
}
