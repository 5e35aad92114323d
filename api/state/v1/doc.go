// Package statev1 defines the replicated data: configuration, commands, snapshots and consensus messages.
// The code is generated from the .proto files in this folder by "make generate".
package statev1
