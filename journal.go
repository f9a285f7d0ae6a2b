package sycamoretiller

import "gitlab.com/sycamoretiller/sycamoretiller/wire"

// Journal persists a controller's log. Records and snapshots survive a crash once the method has returned without an error.
type Journal interface {
	// Append writes a record and syncs it to disk.
	Append(record *wire.Record) error
	// SaveSnapshot replaces everything up to the snapshot's index and syncs it to disk.
	SaveSnapshot(snapshot *wire.Snapshot, state *wire.HardState, tail []*wire.Entry) error
	// Close releases the files.
	Close() error
}
