// Package static holds the settings that a process reads from its INI file at
// startup: its addresses, its availability zone, the platform's address and its
// limits.
package static
