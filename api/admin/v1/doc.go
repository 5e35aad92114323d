// Package adminv1 holds the administration API: twirp service and messages.
// The generated code is made from the .proto files beside it by "make generate".
package adminv1
