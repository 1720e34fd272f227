// Package exchange carries messages between figfront's processes over drpc.
//
// A Hub is the server side: it keeps the latest message of each topic and key and
// streams these messages to subscribers. A Client is the client side; PubSub builds
// watermill's Publisher and Subscriber on it. A subscriber that reads too slowly
// misses superseded messages of a key but always receives the latest one.
package exchange
