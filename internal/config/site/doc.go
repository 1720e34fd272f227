// Package site describes a whole deployment that is configured in one piece:
// routes by host and path, the services behind them and the servers of these
// services, which register themselves.
//
// The configuration of single teams, which operators keep in settings files, is
// in package dynamic.
package site
