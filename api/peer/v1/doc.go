// Package peerv1 holds the calls between daemons: twirp services and messages.
// The generated code is made from the .proto files beside it by "make generate".
package peerv1
