package quota

import "time"

// burstTime is the time over which an unused rate accumulates.
const burstTime = 2 * time.Second

// Bucket is a token bucket filled at the rate of a VM's share. A prompt may be
// larger than the balance: it is admitted while the balance is not negative,
// and later prompts wait until the debt is repaid. It is not safe for
// concurrent use.
type Bucket struct {
	balance    float64
	refilledAt time.Time
	// requestedRate is the decaying average of the requested rate, in tokens
	// per second.
	requestedRate float64
}

// rateTimeConstant is the time constant of requestedRate.
const rateTimeConstant = 10 * time.Second

// Take withdraws tokens, with the bucket filled at the given rate in tokens per
// second. If the withdrawal is refused, Take returns false and the time after
// which a retry may succeed.
func (b *Bucket) Take(now time.Time, rate float64, tokens int64) (time.Duration, bool) {
	b.refill(now, rate)
	b.requestedRate += float64(tokens) / rateTimeConstant.Seconds()
	if rate <= 0 || b.balance < 0 {
		return b.wait(rate), false
	}
	b.balance -= float64(tokens)
	return 0, true
}

// RequestedRate returns the average requested rate, refused requests included, in tokens
// per second.
func (b *Bucket) RequestedRate(now time.Time, rate float64) float64 {
	b.refill(now, rate)
	return b.requestedRate
}

func (b *Bucket) refill(now time.Time, rate float64) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.balance = min(b.balance+elapsed*rate, rate*burstTime.Seconds())
	b.requestedRate *= max(0, 1-elapsed/rateTimeConstant.Seconds())
}

// wait returns the time until the balance is no longer negative, or
// rateTimeConstant if the rate is zero.
func (b *Bucket) wait(rate float64) time.Duration {
	if rate <= 0 {
		return rateTimeConstant
	}
	return time.Duration(-b.balance / rate * float64(time.Second))
}
