// Command platform is the harness of this review. It plays the cases that are not days
// of the bench: it starts the project's daemons as separate processes on loopback
// addresses, with the command of the deploy file and settings like those of a small
// deployment, and plays the platform, the servers, the operator and the requesters
// around them.
//
// It is called with the name of a case and writes what was sent, answered and run to
// record.txt in the current folder. With TROUBLE=0 it leaves the disruption out. Exit
// codes: 0 if the rule held, 1 if it was broken, 2 if the case could not be played.
package main
