// Command platform plays the scripted cases of the second review: it starts the daemon
// as separate processes on loopback addresses, with small stand-ins for the platform's
// list, the servers, the operator and the requesters, and checks one rule of the users'
// pages. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main
