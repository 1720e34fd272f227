// Package admin serves the administration API: operators read, check and
// change the settings of their team's subtree and see where they are in force.
//
// Each team has a bearer token; one team's token opens only its own subtree.
package admin
