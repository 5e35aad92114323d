// Package statev1 holds the replicated data: configuration, commands, snapshots and consensus messages.
// The generated code is made from the .proto files beside it by "make generate".
package statev1
