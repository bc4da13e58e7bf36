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
	// formatAddress is the schema's name for an IPv4 address and a port.
	formatAddress = "ip-port"
)

// compile reads the schema.
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

// addressError says that a string is no IPv4 address and port.
type addressError struct{ value string }

// Error implements error.
func (e *addressError) Error() string {
	return fmt.Sprintf("%q is not an IPv4 address and port", e.value)
}

// checkAddress takes an IPv4 address and a port, and no name.
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
