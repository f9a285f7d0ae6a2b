package sycamoretiller

import "gitlab.com/sycamoretiller/sycamoretiller/wire"

// Journal keeps a controller's log; what it has acknowledged survives a crash.
type Journal interface {
	// Append writes a record and syncs it.
	Append(record *wire.Record) error
	// SaveSnapshot replaces everything up to the snapshot's index and syncs it.
	SaveSnapshot(snapshot *wire.Snapshot, state *wire.HardState, tail []*wire.Entry) error
	// Close releases the files.
	Close() error
}
