//go:build review

// Command standin-3 plays the cases of the third review: it starts figfront-entry as separate processes
// on loopback, with a store, servers and clients that do what the users' pages allow them.
package main
