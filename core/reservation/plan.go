package reservation

import "slices"

// Candidate is an endpoint that can hold a share.
type Candidate struct {
	ID string
	// Memory is the KV memory that the endpoint can reserve, in tokens.
	Memory int64
}

// Share is one endpoint's part of a reservation.
type Share struct {
	Endpoint string
	Tokens   int64
}

// Plan divides need tokens among the fewest candidates that can hold them, the
// largest first. Of candidates with equal memory, the earlier in the list is
// preferred. The shares are proportional to the candidates' memory, so that no
// member is full while another is empty, and are in the order of the endpoints' IDs.
// Lead is the ID of the first candidate in the list that has a share. Plan returns
// no shares when the candidates together have too little memory.
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

// largest returns the largest candidates that together can hold need tokens, and
// the sum of their memory. The sum is less than need when all are too small.
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
