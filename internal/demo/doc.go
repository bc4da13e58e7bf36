// Package demo runs a whole deployment in one process over loopback: a stand-in
// platform, model engines and plain services, four entry VMs, and a sample load
// of very unlike prompt lengths. It prints a table of what it measured and then
// goes on serving.
package demo
