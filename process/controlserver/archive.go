package controlserver

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
	"gitlab.com/sycamoretiller/sycamoretiller/source/archiver"
	"gitlab.com/sycamoretiller/sycamoretiller/source/journaler"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// maxQueuedSyncs bounds the messages of nodes that wait for the disk; nodes repeat withdrawals that are dropped.
const maxQueuedSyncs = 4096

// archiveFile is the file of withdrawals and crash records on the controller's disk. After a failure, only Replace makes it usable again.
type archiveFile interface {
	Append(records []*wire.ArchiveRecord) error
	Replace(records []*wire.ArchiveRecord) error
	// IsLarge reports whether the file should be replaced.
	IsLarge() bool
	Close() error
}

var _ archiveFile = (*journaler.ArchiveLog)(nil)

// archiveKeeper stores the withdrawals and crash records that nodes send, and replies to withdrawals once they are durable. It has a file and a
// goroutine of its own, so that neither delays the replicated log; the messages that arrive during one sync share the next.
type archiveKeeper struct {
	core     *archiver.Core
	file     archiveFile
	clock    tiller.Clock
	requests chan *wire.Envelope
	// voters returns the addresses of the voting controllers.
	voters func() []string
	send   func(envelopes ...*wire.Envelope)
	log    logr.Logger
	synced metrics.Timer
	// stale is set while the file may lack records of the core.
	stale bool
}

// newArchiveKeeper returns a keeper with the records in a data folder. A file that cannot be opened now is tried again with the next
// request.
func newArchiveKeeper(folder string, clock tiller.Clock, log logr.Logger, registry metrics.Registry) *archiveKeeper {
	file, records, err := journaler.OpenArchiveLog(folder)
	k := &archiveKeeper{
		core: archiver.New(), file: file, clock: clock, requests: make(chan *wire.Envelope, maxQueuedSyncs), log: log,
		synced: metrics.GetOrRegisterTimer("archive.sync", registry), stale: err != nil,
	}

	k.core.Load(clock.Now(), records)

	if err != nil {
		log.Error(err, "archive cannot be written now")
	}

	return k
}

// receive queues a request without waiting.
func (k *archiveKeeper) receive(e *wire.Envelope) {
	select {
	case k.requests <- e:
	default:
	}
}

// part returns the part of the process that serves the requests.
func (k *archiveKeeper) part() runner.Part {
	return runner.NewPart("archive", func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return k.file.Close()
			case e := <-k.requests:
				k.serve(k.batch(e))
			}
		}
	}, nil)
}

// batch returns a request with all that are queued behind it.
func (k *archiveKeeper) batch(first *wire.Envelope) []*wire.Envelope {
	out := []*wire.Envelope{first}

	for {
		select {
		case e := <-k.requests:
			out = append(out, e)
		default:
			return out
		}
	}
}

// serve stores what a batch of messages adds, and replies to withdrawals. Requests whose withdrawals could not be stored get no reply.
func (k *archiveKeeper) serve(batch []*wire.Envelope) {
	var (
		records []*wire.ArchiveRecord
		replies []*wire.Envelope
		recalls []*wire.Envelope
	)

	voters := k.voters()

	for _, e := range batch {
		if m := e.GetCrashRecords(); m != nil {
			if record := k.core.MergeCrashRecords(k.clock.Now(), m.GetRecords()); record != nil {
				records = append(records, record)
			}

			continue
		}

		r := e.GetWithdrawalSync()
		result := k.core.Sync(k.clock.Now(), r, voters)

		if result.Record != nil {
			records = append(records, result.Record)
		}

		answer := wire.ReplyOverStream(e, []*wire.Envelope{{
			From: e.GetTo(), To: e.GetFrom(), Body: &wire.Envelope_WithdrawalSyncReply{WithdrawalSyncReply: result.Reply},
		}})

		switch {
		case result.Recall:
			recalls = append(recalls, answer...)
		case result.Complete:
			replies = append(replies, answer...)
		}
	}

	k.send(recalls...)
	k.send(k.crashRecordsFor(recalls)...)

	if (len(records) > 0 || len(replies) > 0) && k.persist(records) {
		k.send(replies...)
	}
}

// crashRecordsFor returns a message with the crash records for each reply to a node that has started, none if there are no records.
func (k *archiveKeeper) crashRecordsFor(recalls []*wire.Envelope) []*wire.Envelope {
	if len(recalls) == 0 {
		return nil
	}

	records := k.core.CrashRecords(k.clock.Now())
	if len(records) == 0 {
		return nil
	}

	body := &wire.Envelope_CrashRecords{CrashRecords: &wire.CrashRecords{Records: records}}
	out := make([]*wire.Envelope, 0, len(recalls))

	for _, e := range recalls {
		out = append(out, &wire.Envelope{From: e.GetFrom(), To: e.GetTo(), Stream: true, Body: body})
	}

	return out
}

// persist makes new records durable and reports whether the file holds all records of the core.
func (k *archiveKeeper) persist(records []*wire.ArchiveRecord) bool {
	var err error

	defer k.synced.UpdateSince(time.Now())

	switch {
	case k.stale || k.file.IsLarge():
		err = k.file.Replace(k.core.Records(k.clock.Now()))
	case len(records) > 0:
		err = k.file.Append(records)
	}

	if err != nil && !k.stale {
		k.log.Error(err, "archive cannot be written now")
	}

	k.stale = err != nil

	return !k.stale
}
