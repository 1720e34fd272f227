package exchange

// StallTimeout is how long another process may accept no byte.
const StallTimeout = stallTimeout
