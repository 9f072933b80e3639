// Package blackboard holds the tables that the controllers of one process
// read and write, and the pool of workers that runs the controllers.
//
// All state here is soft: it is read from the platform, endpoints or peers, and
// lost with the process. Each item carries its age. After a pause of the process
// the state is dropped and read again.
//
// Lock order. Each table has one lock, and no method holds it while calling out of
// its table; the tables never call each other. Code that needs several locks takes
// them in this order: the lock under which peer.Router applies new views to tables,
// owner.Owner, owner.Scheduler, owner.Permits, ConfigTable, HostTable, DomainTable,
// EndpointTable, EvacuationTable, RegionTable, RequestTable, KeyTable,
// quota.Accounts, quarantine.Registry. Only peer.Router and package owner hold a
// lock of their own while they use a table.
//
// The package makes no decisions and does no I/O.
package blackboard
