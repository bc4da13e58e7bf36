package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// declaredEvents returns the names of the types of this package that have a
// method Def.
func declaredEvents(t *testing.T) []string {
	t.Helper()
	entries, err := os.ReadDir(".")
	require.NoError(t, err)
	var names []string
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), ".go") || strings.HasSuffix(e.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), e.Name(), nil, 0)
		require.NoError(t, err)
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok || f.Recv == nil || f.Name.Name != "Def" {
				continue
			}
			receiver, ok := f.Recv.List[0].Type.(*ast.Ident)
			require.True(t, ok, "Def must have a value receiver")
			names = append(names, receiver.Name)
		}
	}
	return names
}
