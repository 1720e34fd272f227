// Package dynamic holds the settings that operators change while figfront
// runs: the services of a team, their upstreams and the rules for each kind of
// traffic.
//
// The settings of one team are one INI text under the team's path:
//
//	[/teams/asocrank/services/start-board]
//	concurrency = 64
//	[/teams/asocrank/services/start-board/traffic/lookup]
//	deadline = 800ms
//	[/teams/asocrank/services/start-board/upstreams/sb-1]
//	address = 127.0.0.1:9101
//	zone = fukuoka
package dynamic
