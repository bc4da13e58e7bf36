package calls

// budgetCap bounds the retries that a Budget saves up.
const budgetCap = 100

// Budget limits the retries of idempotent calls to a share of the calls. It is
// not safe for concurrent use.
type Budget struct{ saved float64 }

// NewBudget returns a Budget that allows one retry at once.
func NewBudget() *Budget { return &Budget{saved: 1} }

// Deposit notes a first attempt; share is the number of retries that it earns,
// from 0 to 1.
func (b *Budget) Deposit(share float64) { b.saved = min(b.saved+share, budgetCap) }

// Withdraw takes one retry, if there is one.
func (b *Budget) Withdraw() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
