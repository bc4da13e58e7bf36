// Package platform is a small stand-in for the platform, for tests and
// experiments: the transactional table service, the object store, the VM list,
// which shows changes late, and the rate-limited weight store. Injected faults
// refuse or delay requests, or lose requests or answers of writes.
package platform
