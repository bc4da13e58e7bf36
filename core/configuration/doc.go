// Package configuration has the document that governs the service: what it
// holds, how a folder of files is merged into it (RFC 7386, in the order of
// names), and which rules it must meet. Version numbers are those of the head
// row in the platform's table service.
package configuration
