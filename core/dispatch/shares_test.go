package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/fairshare"
)

const largeOrganisation = "large"

// shareLoad is a load of calls of a plain service with ten slots and calls of 100 ms, which
// serve 100 a second.
type shareLoad struct {
	fair bool
	// rates are calls per second by organisation.
	rates map[string]float64
	// newHolder replaces the dispatcher at a time; zero for never.
	newHolder time.Duration
}

type shareResult struct {
	sent, served map[string]int
	// refusals are those of the large organisation, and waits the times for which the refused jobs
	// were queued.
	refusals []Refusal
	waits    []time.Duration
}

const shareLoadLength = 12 * time.Second

func (l shareLoad) dispatcher(now time.Time) *Dispatcher {
	cfg := DefaultConfig()
	cfg.FairShares = l.fair
	d := New(cfg)
	d.SetServices(now, []Service{{Name: "p"}})
	list := make([]Endpoint, 0, 5)
	for i := range 5 {
		list = append(list, Endpoint{ID: fmt.Sprint("p", i), Service: "p", Slots: 2})
	}
	d.SetEndpoints(now, list)
	return d
}

// run simulates the load in steps of a millisecond. A new holder learns of the placed jobs and of the
// work that the VMs have counted, as internal/coordination passes them on.
func (l shareLoad) run() shareResult {
	r := shareResult{sent: map[string]int{}, served: map[string]int{}}
	rng := rand.New(rand.NewPCG(1, 1))
	d := l.dispatcher(start)
	names := make([]string, 0, len(l.rates))
	for o := range l.rates {
		names = append(names, o)
	}
	slices.Sort(names)
	jobs := make(map[string]Job)
	placed := make(map[string]Placement)
	ends := make(map[time.Time][]string)
	for n, now := 0, start; now.Before(start.Add(shareLoadLength)); now = now.Add(time.Millisecond) {
		for _, id := range ends[now] {
			d.Finished(now, testKey(id), Served, "")
			delete(placed, id)
			r.served[jobs[id].Organisation]++
		}
		if l.newHolder > 0 && now.Equal(start.Add(l.newHolder)) {
			next := l.dispatcher(now)
			next.AddShares(now, "p", "vm", d.Shares(now, "p", "vm"))
			for id, p := range placed {
				next.Adopt(now, jobs[id], p, false)
			}
			for _, q := range d.queue {
				next.Submit(now, q.Job)
			}
			d = next
		}
		for _, o := range names {
			if rng.Float64() < l.rates[o]/1000 {
				n++
				j := call(fmt.Sprint(n), now)
				j.Organisation = o
				jobs[j.ID] = j
				r.sent[o]++
				d.Submit(now, j)
			}
		}
		for _, decision := range d.Decide(now) {
			id := decision.Key().ID
			if decision.Refusal != nil {
				if jobs[id].Organisation == largeOrganisation {
					r.refusals = append(r.refusals, *decision.Refusal)
					r.waits = append(r.waits, now.Sub(jobs[id].Arrived))
				}
				continue
			}
			placed[id] = *decision.Placement
			end := now.Add(100 * time.Millisecond)
			ends[end] = append(ends[end], id)
		}
	}
	return r
}

// nineAndOne returns the rates of nine organisations within their share of 10 calls a second
// and of one that sends the given number.
func nineAndOne(large float64) map[string]float64 {
	rates := map[string]float64{largeOrganisation: large}
	for i := range 9 {
		rates[fmt.Sprint("o", i)] = 8.5
	}
	return rates
}

func (r shareResult) nine() (sent, served int) {
	for o := range r.sent {
		if o != largeOrganisation {
			sent, served = sent+r.sent[o], served+r.served[o]
		}
	}
	return sent, served
}

// TestLargeOrganisationDoesNotDisplaceOthers guards against an organisation with ten times its
// share of demand for a plain service that displaces nine within theirs, also when the holder
// changes. It gets what they leave.
func TestLargeOrganisationDoesNotDisplaceOthers(t *testing.T) {
	alone := shareLoad{rates: nineAndOne(0)}.run()
	sent, served := alone.nine()
	aloneShare := float64(served) / float64(sent)
	for name, newHolder := range map[string]time.Duration{"one holder": 0, "new holder": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			r := shareLoad{fair: true, rates: nineAndOne(100), newHolder: newHolder}.run()
			sent, served := r.nine()
			require.GreaterOrEqual(t, float64(served)/float64(sent), 0.98*aloneShare)
			capacity := 100 * shareLoadLength.Seconds()
			require.GreaterOrEqual(t, float64(served+r.served[largeOrganisation]), 0.97*capacity)
			for o := range r.sent {
				require.Positive(t, r.served[o], o)
			}
			unfair := shareLoad{rates: nineAndOne(100), newHolder: newHolder}.run()
			_, servedUnfair := unfair.nine()
			require.Greater(t, served, servedUnfair+servedUnfair/4, "the load shows the failure without fair shares")
		})
	}
}

// TestRefusedCallersComeBackOneByOne checks the refusals of the large organisation: at once, with the
// share as the reason, and with return times that are spread over seconds.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	r := shareLoad{fair: true, rates: nineAndOne(100)}.run()
	require.NotEmpty(t, r.refusals)
	over, atOnce := 0, 0
	after := map[time.Duration]bool{}
	for i, refusal := range r.refusals {
		// At first not all organisations have sent a call.
		started := i > len(r.refusals)/10
		require.GreaterOrEqual(t, refusal.RetryAfter, refusalRetryAfter)
		require.LessOrEqual(t, refusal.RetryAfter, maxReturn)
		if refusal.Reason == ReasonOverShare {
			over++
			require.Greater(t, refusal.Received, refusal.Share)
			require.True(t, !started || refusal.Share == 0.1)
		}
		if r.waits[i] == 0 {
			atOnce++
		}
		after[refusal.RetryAfter.Truncate(100*time.Millisecond)] = true
	}
	require.GreaterOrEqual(t, over, len(r.refusals)*9/10)
	require.GreaterOrEqual(t, atOnce, len(r.refusals)*8/10)
	require.Greater(t, len(after), 30)
}

// TestOrganisationAloneGetsAll guards against capacity that is kept free for organisations that send
// nothing.
func TestOrganisationAloneGetsAll(t *testing.T) {
	for _, rate := range []float64{90, 150, 1000} {
		rates := map[string]float64{largeOrganisation: rate}
		fair, unfair := shareLoad{fair: true, rates: rates}.run(), shareLoad{rates: rates}.run()
		require.GreaterOrEqual(t, fair.served[largeOrganisation], unfair.served[largeOrganisation]*99/100, rate)
	}
}

// shareSim simulates prompts of nine organisations, and of a large one with ten times the demand
// of each.
type shareSim struct {
	served, all map[string]float64
	work        float64
}

func simulateShares(seeds int, fair bool, kinds []simKind, load, large float64) shareSim {
	r := shareSim{served: map[string]float64{}, all: map[string]float64{}}
	phases := []simPhase{{0, [3]float64{1, 1, 1}}}
	for seed := range uint64(seeds) {
		cfg := DefaultConfig()
		cfg.FairShares = fair
		s := newSim(seed, cfg, 18)
		s.arrivals(kinds, phases, load*9, 14000)
		for _, j := range s.jobs {
			j.org = fmt.Sprint("o", s.rng.IntN(9))
		}
		if large > 0 {
			s.arrivals(kinds, phases, load*large, 14000)
		}
		s.run()
		for _, j := range s.jobs {
			group := "nine"
			if j.org == "" {
				group = largeOrganisation
			}
			for _, name := range []string{group, group + "/" + j.kind.name, j.kind.name, "organisation " + j.org} {
				r.all[name]++
				if j.done {
					r.served[name]++
				}
			}
			if j.done {
				r.work += s.d.work(&Job{Service: "s", PromptTokens: j.prompt, AnswerTokens: j.events * simCostModel().Stride}).Seconds()
			}
		}
	}
	return r
}

func (s shareSim) share(name string) float64 { return s.served[name] / s.all[name] }

// TestLargeOrganisationsShortPrompts guards against short prompts of one organisation at ten times its
// share that take the slots of nine within theirs.
func TestLargeOrganisationsShortPrompts(t *testing.T) {
	kinds := simKinds()[:1]
	alone := simulateShares(2, false, kinds, 0.3, 0)
	unfair := simulateShares(2, false, kinds, 0.3, 10)
	fair := simulateShares(2, true, kinds, 0.3, 10)
	require.Less(t, unfair.share("nine"), 0.8*alone.share("nine"))
	require.GreaterOrEqual(t, fair.share("nine"), 0.98*alone.share("nine"))
	require.GreaterOrEqual(t, fair.work, 0.95*unfair.work, "the large one gets the rest")
}

// TestLargeOrganisationsPromptsOfAllLengths guards against prompts of all lengths of one organisation at
// ten times its share that take what nine within theirs need.
func TestLargeOrganisationsPromptsOfAllLengths(t *testing.T) {
	alone := simulateShares(3, false, simKinds(), 0.2, 0)
	fair := simulateShares(3, true, simKinds(), 0.2, 10)
	require.GreaterOrEqual(t, fair.share("nine"), 0.98*alone.share("nine"))
}

// TestUrgentBandsComeFirst guards, with prompts of all lengths in the same load, against long prompts of
// the nine that starve behind short ones of the large organisation, and against short prompts that
// are served less than longer ones.
func TestUrgentBandsComeFirst(t *testing.T) {
	unfair, fair := simulateShares(3, false, simKinds(), 0.2, 10), simulateShares(3, true, simKinds(), 0.2, 10)
	for _, name := range []string{"nine", "nine/medium", "nine/long"} {
		require.Greater(t, fair.share(name), unfair.share(name), name)
	}
	require.GreaterOrEqual(t, fair.share("short"), fair.share("medium"))
	require.GreaterOrEqual(t, fair.share("medium"), fair.share("long"))
	for name := range fair.all {
		require.Greater(t, fair.share(name), 0.4, "nobody starves: "+name)
	}
}

// TestLongPromptCountsItsWork guards against a prompt of 220,000 tokens that counts as one turn like
// one of 5,000: after one of the former, an organisation's prompts go behind those of another
// one that has had several of the latter.
func TestLongPromptCountsItsWork(t *testing.T) {
	cfg := DefaultConfig()
	cfg.FairShares = true
	d := New(cfg)
	d.SetServices(start, []Service{{Name: "s", Engine: simCostModel()}})
	long, short := prompt("long", 220000, start), prompt("short", 5000, start)
	require.Greater(t, float64(d.work(&long))/float64(d.work(&short)), 26.0)
	ledger := d.sharesOf("s").ledger
	ledger.Add(start, "vm", "a", d.work(&long))
	for range 5 {
		ledger.Add(start, "vm", "b", d.work(&short))
	}
	for i, o := range []string{"a", "a", "b", "b"} {
		j := prompt(fmt.Sprint(i), 5000, start)
		j.Organisation = o
		d.Submit(start, j)
	}
	d.sortQueue(start)
	require.Equal(t, []string{"b", "b", "a", "a"}, []string{
		d.queue[0].Organisation, d.queue[1].Organisation, d.queue[2].Organisation, d.queue[3].Organisation,
	})
}

// TestRejectedRequestIsNoWork checks that a request which an endpoint proved not to have run does not
// count for its organisation, and that an adopted one counts once.
func TestRejectedRequestIsNoWork(t *testing.T) {
	d := shareLoad{fair: true}.dispatcher(start)
	j := call("1", start)
	j.Organisation = "a"
	submitAndPlace(t, d, start, j)
	d.CountAdopted(start, testKey("1"))
	require.Equal(t, []fairshare.Share{{Organisation: "a", Received: defaultHolding}}, d.Shares(start, "p", "vm"))
	d.Finished(at(10), testKey("1"), Rejected, "")
	require.Empty(t, d.Shares(at(10), "p", "vm"))
}

// BenchmarkPlaceFairShares measures the submission, decision and end of one prompt, with and without
// fair shares.
func BenchmarkPlaceFairShares(b *testing.B) {
	for _, fair := range []bool{false, true} {
		b.Run(fmt.Sprint("fair=", fair), func(b *testing.B) {
			d, now := loadedDispatcher(64)
			d.cfg.FairShares = fair
			for b.Loop() {
				d.Submit(now, prompt("x", 5000, now))
				d.Decide(now)
				d.Finished(now, testKey("x"), Abandoned, "")
			}
		})
	}
}
