// Package static holds the settings that a process reads once at its start:
// its addresses, its availability zone, the platform's address and its limits.
package static
