// Package site describes a deployment whose configuration is replaced as a whole:
// routes by host and path, the services that they lead to, and the servers of these
// services, which register themselves.
//
// Package dynamic holds the other form of configuration, the settings of single
// teams.
package site
