// Package strictconn wraps connections on which net/http reads responses, and withholds from it what it
// would take for a response although it is none.
//
// A response without a length ends with its connection. If the connection is reset while a long request
// is still being written, the write takes the error from the socket, and the read that follows sees an
// end in order: the part of the body that arrived looks whole. A Conn reports an end only if no write has
// failed.
package strictconn
