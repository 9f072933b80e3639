// Package blackboard holds the tables that the controllers of one process
// read and write, and the pool of workers that runs the controllers.
//
// Everything here is soft: read from the platform, from endpoints or from
// peers, and lost with the process. Each belief carries its age; after a
// pause of the process beliefs are dropped and read again.
//
// Lock order. Each table has one lock, and no method holds it while calling
// out of its table. Code that must see two tables together takes the locks
// in this order: ConfigTable, HostTable, EndpointTable, owner.Book,
// RequestTable, KeyTable. The tables never call each other, so in practice
// one lock is held at a time.
//
// The package decides nothing and does no I/O.
package blackboard
