package demo

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

func TestEveryDeploymentAnswersItsOwnLoad(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			d, err := Lookup(name)
			require.NoError(t, err)
			s, err := start(d, io.Discard)
			require.NoError(t, err)
			defer s.close()
			m := d.mix(1, 1_000)
			m.MaxRequests = 40
			m = m.Only(classShort, classMedium)
			r, err := loadgen.Run(context.Background(), m, loadgen.Options{Addresses: s.callers(), Oracle: engine.AnswerText})
			require.NoError(t, err)
			require.Equal(t, r.Planned, r.Totals.Whole, "%+v", r.Totals)
			var out strings.Builder
			printTables(&out, &d, &r, &r)
			for _, o := range d.Organisations {
				require.Contains(t, out.String(), o.Name)
			}
			require.Regexp(t, `alone ÷ with long +1\.00`, out.String())
		})
	}
}

func TestUnknownDeployment(t *testing.T) {
	err := Run(context.Background(), Options{Deployment: "elsewhere", Out: io.Discard})
	var unknown *UnknownDeploymentError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, Names(), unknown.Known)
}
