package calls

// maxTokens bounds the number of retries that a Budget accumulates.
const maxTokens = 100

// Budget is a token bucket that limits the retries of idempotent calls to a
// share of the first attempts. It is not safe for concurrent use.
type Budget struct{ tokens float64 }

// NewBudget returns a Budget with one token, so that the first retry is allowed
// immediately.
func NewBudget() *Budget { return &Budget{tokens: 1} }

// Deposit adds share tokens, from 0 to 1, for a first attempt. One token allows
// one retry.
func (b *Budget) Deposit(share float64) { b.tokens = min(b.tokens+share, maxTokens) }

// Withdraw takes one token and reports whether one was available.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
