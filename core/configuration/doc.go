// Package configuration defines the configuration document of the service: its
// fields, how a folder of files is merged into it (RFC 7386, in the order of
// file names), and the rules it is validated against. Version numbers are those
// of the head row in the platform's table service.
package configuration
