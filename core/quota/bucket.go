package quota

import "time"

// burst is the time for which an unused share is kept.
const burst = 2 * time.Second

// Bucket spends a share. A prompt may be larger than what is kept: it is let
// through while the balance is positive and paid back by those after it. It is
// not safe for concurrent use.
type Bucket struct {
	balance float64
	at      time.Time
	// used is the decayed rate of tokens taken, in tokens a second.
	used float64
}

// usedTime is the time constant of the used rate.
const usedTime = 10 * time.Second

// Take takes tokens at the rate in force. Where it may not, it returns the time
// until it might.
func (b *Bucket) Take(now time.Time, rate float64, tokens int64) (time.Duration, bool) {
	b.fill(now, rate)
	b.used += float64(tokens) / usedTime.Seconds()
	if rate <= 0 || b.balance < 0 {
		return b.wait(rate), false
	}
	b.balance -= float64(tokens)
	return 0, true
}

// Used is the rate of tokens asked for, in tokens a second.
func (b *Bucket) Used(now time.Time, rate float64) float64 {
	b.fill(now, rate)
	return b.used
}

func (b *Bucket) fill(now time.Time, rate float64) {
	if b.at.IsZero() {
		b.at = now
	}
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	b.balance = min(b.balance+passed*rate, rate*burst.Seconds())
	b.used *= max(0, 1-passed/usedTime.Seconds())
}

// wait is the time until the balance is positive again.
func (b *Bucket) wait(rate float64) time.Duration {
	if rate <= 0 {
		return usedTime
	}
	return time.Duration(-b.balance / rate * float64(time.Second))
}
