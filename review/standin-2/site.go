package main

import (
	"encoding/json"
	"fmt"
)

// Names of the stand-in's site.
const (
	siteHost     = "site.example"
	healthPath   = "/health"
	lookupPath   = "/lookup/"
	commitPath   = "/commit/"
	uploadPath   = "/roster/"
	lookupServer = "start-board"
	commitServer = "pay-desk"
	uploadServer = "waiver-vault"
)

// Timeouts of the routes and the limit of idle connections, in seconds, as in the site file and
// the platform's example.
const (
	lookupTimeoutS = 1.2
	commitTimeoutS = 1.5
	idleTimeoutS   = 15.0
)

// siteConfig returns a version of the operator's configuration with a timeout for uploads; without one
// it has no route for them.
func siteConfig(version int, uploadTimeoutS float64) []byte {
	type object = map[string]any
	route := func(prefix, kind string, timeoutS, targetS float64, priority int, service string) object {
		return object{
			"name": "r" + prefix, "prefix": prefix, wire["kind"]: kind, "timeoutS": timeoutS,
			wire["objective"]: targetS, "priority": priority, "attempts": 2, "service": service,
		}
	}
	paths := []object{
		route(lookupPath, "safe", lookupTimeoutS, 0.6, 2, lookupServer),
		route(commitPath, "unsafe", commitTimeoutS, 0.8, 1, commitServer),
	}
	if uploadTimeoutS > 0 {
		paths = append(paths, route(uploadPath, "upload", uploadTimeoutS, 0.8, 1, uploadServer))
	}
	value, _ := json.Marshal(object{
		"version": fmt.Sprintf("%08x", version),
		"services": []object{
			{"name": lookupServer, "healthPath": healthPath, wire["connections"]: 220},
			{"name": commitServer, "healthPath": healthPath, wire["connections"]: 220},
			{"name": uploadServer, "healthPath": healthPath, wire["connections"]: 220},
		},
		"limits":      object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": idleTimeoutS},
		wire["hosts"]: []object{{"hostname": siteHost, "paths": paths}},
	})
	return value
}
