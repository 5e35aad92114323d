// Package peerv1 defines the calls between daemons: twirp services and messages.
// The code is generated from the .proto files in this folder by "make generate".
package peerv1
