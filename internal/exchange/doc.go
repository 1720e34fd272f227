// Package exchange carries messages between figfront's processes over drpc.
//
// A Hub is the server side: it keeps the latest message of each topic and key
// and streams them to subscribers. A Client is the other side; it implements
// watermill's Publisher and Subscriber. Under pressure a subscriber that reads
// slowly misses older messages of a key but always gets the latest one.
package exchange
