// Package target takes the target of a request line apart, and makes requests that carry given targets.
//
// The path and the query of a target are the caller's bytes. net/url can't hold them all: a path with a
// character that it would escape, such as "|", loses the way in which it was escaped, so that "%2F" and "/"
// look alike. Whoever chooses by the path, or passes it on, therefore uses a Target and not a url.URL.
package target
