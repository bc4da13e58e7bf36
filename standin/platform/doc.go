// Package platform is a small stand-in for the platform: the transactional
// table service, the object store, the lagging VM list and the rate-limited
// weight store. It can be told to be down, slow, or to lose answers.
package platform
