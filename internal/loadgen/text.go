package loadgen

import (
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of a token in the texts that are made up.
const bytesPerToken = 4

// words are as long as a token, with the blank after them.
var words = []string{
	"ash ", "oar ", "pin ", "rod ", "hem ", "sew ", "dye ", "fan ",
	"ink ", "jar ", "key ", "lid ", "map ", "net ", "pen ", "tin ",
}

// text makes up the prompt of an item: a prefix shared with its group, then a
// text of its own.
func (it *item) text() string {
	shared := int64(it.prompts.SharedPrefix * float64(it.tokens))
	var b strings.Builder
	b.Grow(int(it.tokens) * bytesPerToken)
	write(&b, rand.New(rand.NewPCG(xxhash.Sum64String(it.prompts.Class)^it.textSeed, uint64(it.group))), shared)
	write(&b, rand.New(rand.NewPCG(it.seed, it.textSeed)), it.tokens-shared)
	return b.String()
}

func write(b *strings.Builder, rng *rand.Rand, tokens int64) {
	for range tokens {
		b.WriteString(words[rng.IntN(len(words))])
	}
}
