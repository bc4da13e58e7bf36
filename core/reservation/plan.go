package reservation

import "slices"

// Candidate is an endpoint that could take a share.
type Candidate struct {
	ID string
	// Memory is what it can set aside, in tokens.
	Memory int64
}

// Share is one endpoint's part of a reservation.
type Share struct {
	Endpoint string
	Tokens   int64
}

// Plan shares need tokens out over the fewest candidates that can hold them.
// Where several would do, those earlier in the list are preferred. The shares
// are in proportion to the memories, so that no member is filled up while
// another is empty, and come in the order of the endpoints' ids. Lead is the id
// of the earliest candidate that has one. It returns no shares when all
// candidates together are too small.
func Plan(need int64, candidates []Candidate) (shares []Share, lead string) {
	members, sum := largest(need, candidates)
	if sum < need {
		return nil, ""
	}
	left := need
	for i, m := range members {
		tokens := left
		if i < len(members)-1 {
			tokens = min(left, ceilDiv(m.Memory*need, sum))
		}
		shares = append(shares, Share{m.ID, tokens})
		left -= tokens
	}
	for _, c := range candidates {
		if slices.ContainsFunc(shares, func(s Share) bool { return s.Endpoint == c.ID }) {
			lead = c.ID
			break
		}
	}
	slices.SortFunc(shares, byEndpoint)
	return shares, lead
}

// largest takes the largest candidates until they can hold need tokens. It
// returns their memory too.
func largest(need int64, candidates []Candidate) (members []Candidate, sum int64) {
	order := slices.Clone(candidates)
	slices.SortStableFunc(order, func(a, b Candidate) int { return int(min(max(b.Memory-a.Memory, -1), 1)) })
	for _, c := range order {
		if sum >= need || c.Memory <= 0 {
			break
		}
		members = append(members, c)
		sum += c.Memory
	}
	return members, sum
}

func byEndpoint(a, b Share) int {
	switch {
	case a.Endpoint < b.Endpoint:
		return -1
	case a.Endpoint > b.Endpoint:
		return 1
	}
	return 0
}

func ceilDiv(a, b int64) int64 { return (a + b - 1) / b }
