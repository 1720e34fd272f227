// Package strictconn wraps connections on which net/http reads responses, and withholds from it what it
// would take for a response although it is none.
//
// A response without a length ends with its connection. If the connection is reset while a long request
// is still being written, the write takes the error from the socket, and the read that follows sees an
// end in order: the part of the body that arrived looks whole. A Conn reports an end only if no write has
// failed.
//
// net/http ignores header lines whose name holds a blank. If the line was that of the length or of the
// framing, the body is read in another way than it was sent. A Conn checks the names of all fields in the
// head of a response, where its bytes are read, and ends the connection with an error at the first one
// that is none.
//
// The check of the parsed response would be simpler, but the lines in question are gone by then.
package strictconn
