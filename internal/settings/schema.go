package settings

import (
	"bytes"
	_ "embed"
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed schema.json
var schemaText []byte

const (
	schemaName = "schema.json"
	// formatAddress is the name of the schema format for an IPv4 address and port.
	formatAddress = "ip-port"
)

// compile returns the compiled JSON schema of the settings.
func compile() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := jsonschema.NewCompiler()
	c.RegisterFormat(&jsonschema.Format{Name: formatAddress, Validate: checkAddress})
	c.AssertFormat()
	if err := c.AddResource(schemaName, doc); err != nil {
		return nil, errors.WithStack(err)
	}
	schema, err := c.Compile(schemaName)
	return schema, errors.WithStack(err)
}

// addressError reports a string that is not an IPv4 address and port.
type addressError struct{ value string }

// Error implements error.
func (e *addressError) Error() string {
	return fmt.Sprintf("%q is not an IPv4 address and port", e.value)
}

// checkAddress accepts an IPv4 address and port, but no host name. Values other
// than strings are left to the schema's type check.
func checkAddress(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() {
		return errors.WithStack(&addressError{text})
	}
	return nil
}
