// Package dynamic holds the settings that operators change while figfront runs: a
// team's services, their upstreams and the rules for each kind of traffic.
//
// The settings of a team are one INI text whose section names are paths below the
// team's path:
//
//	[/teams/asocrank/services/start-board]
//	concurrency = 64
//	[/teams/asocrank/services/start-board/traffic/lookup]
//	deadline = 800ms
//	[/teams/asocrank/services/start-board/upstreams/sb-1]
//	address = 127.0.0.1:9101
//	zone = fukuoka
package dynamic
