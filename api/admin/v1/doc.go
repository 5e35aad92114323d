// Package adminv1 defines the administration API: twirp service and messages.
// The code is generated from the .proto files in this folder by "make generate".
package adminv1
