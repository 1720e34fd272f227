// Package admin serves the administration API. Operators use it to read, validate
// and change the settings of their team's subtree and to see which VMs have applied
// them.
//
// Each team has a bearer token, which gives access only to the team's own subtree.
package admin
