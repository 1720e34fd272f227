package soak

// FreeAddress exports freeAddress for tests.
var FreeAddress = freeAddress
