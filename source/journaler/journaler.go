// Package journaler stores a controller's write-ahead log and snapshots in one folder. Every acknowledged write is synced to disk.
package journaler

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	identityFile = "identity"
	lockFile     = "lock"
	logPrefix    = "wal-"
	snapPrefix   = "snapshot-"
	tempSuffix   = ".tmp"
	fileMode     = 0o600
	folderMode   = 0o700
)

// Journal is a write-ahead log with snapshots in a folder.
type Journal struct {
	folder   string
	identity string
	// newIdentity is assigned if the folder has no identity yet.
	newIdentity string
	sequence    uint64
	log         *os.File
	lock        *os.File
	failed      error
}

var _ tiller.Journal = (*Journal)(nil)

// Option configures how a journal is opened.
type Option func(*Journal)

// WithIdentity assigns the given identity, instead of a random one, to a folder that has none.
func WithIdentity(identity string) Option { return func(j *Journal) { j.newIdentity = identity } }

// Open locks the folder, creates missing files and returns the stored state. A torn frame at the end of the log is truncated;
// other damage is an error that states the file and the offset.
func Open(folder string, options ...Option) (*Journal, replicator.RestoredState, error) {
	var none replicator.RestoredState

	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, none, eris.Wrap(err, "create data folder")
	}

	j := &Journal{folder: folder, newIdentity: uuid.NewString()}
	for _, o := range options {
		o(j)
	}

	if err := j.acquireLock(); err != nil {
		return nil, none, err
	}

	restored, err := j.load()
	if err != nil {
		return nil, none, errors.Join(err, j.Close())
	}

	return j, restored, nil
}

func (j *Journal) acquireLock() error {
	f, err := os.OpenFile(filepath.Join(j.folder, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return eris.Wrap(err, "open lock file")
	}

	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.Join(eris.Wrapf(err, "data folder %s is in use by another process", j.folder), f.Close())
	}

	j.lock = f

	return nil
}

func (j *Journal) load() (replicator.RestoredState, error) {
	var restored replicator.RestoredState

	if err := j.loadIdentity(); err != nil {
		return restored, err
	}

	sequence, found, err := j.latestSequence()
	if err != nil {
		return restored, err
	}

	j.sequence = sequence
	if !found {
		return restored, j.startLog(&wire.Record{})
	}

	restored.Snapshot, err = j.readSnapshot(sequence)
	if err != nil {
		return restored, err
	}

	err = j.replay(&restored)

	return restored, err
}

// loadIdentity reads the identity of the disk. A new disk gets a new identity, so that it never votes under an old one.
func (j *Journal) loadIdentity() error {
	path := filepath.Join(j.folder, identityFile)

	data, err := os.ReadFile(path)
	if err == nil {
		id, err := uuid.Parse(strings.TrimSpace(string(data)))
		if err != nil {
			return eris.Wrapf(err, "%s: damaged identity", path)
		}

		j.identity = id.String()

		return nil
	}

	if !errors.Is(err, os.ErrNotExist) {
		return eris.Wrap(err, "read identity")
	}

	if _, found, err := j.latestSequence(); err != nil || found {
		return errors.Join(err, eris.Errorf("%s is missing although the folder holds a log", path))
	}

	j.identity = j.newIdentity

	return j.writeFile(identityFile, []byte(j.identity+"\n"))
}

// latestSequence returns the highest sequence number of a complete log file.
func (j *Journal) latestSequence() (sequence uint64, found bool, err error) {
	names, err := filepath.Glob(filepath.Join(j.folder, logPrefix+"*"))
	if err != nil {
		return 0, false, eris.Wrap(err, "list log files")
	}

	var sequences []uint64

	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(filepath.Base(name), logPrefix+"%d", &n); err == nil && !strings.HasSuffix(name, tempSuffix) {
			sequences = append(sequences, n)
		}
	}

	if len(sequences) == 0 {
		return 0, false, nil
	}

	return slices.Max(sequences), true, nil
}

func (j *Journal) readSnapshot(sequence uint64) (*wire.Snapshot, error) {
	path := j.path(snapPrefix, sequence)

	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && sequence == 0 {
		return nil, nil
	}

	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}

	payload, _, err := decodeFrame(data)
	if err != nil {
		return nil, eris.Wrapf(err, "%s: offset 0", path)
	}

	var s wire.Snapshot
	if err := proto.Unmarshal(payload, &s); err != nil {
		return nil, eris.Wrapf(err, "%s: offset %d", path, headerBytes)
	}

	return &s, nil
}

// replay reads the log file, truncates a torn tail and leaves the file open for appending.
func (j *Journal) replay(restored *replicator.RestoredState) error {
	path := j.path(logPrefix, j.sequence)

	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read log")
	}

	rest := data
	for len(rest) > 0 {
		payload, next, err := decodeFrame(rest)
		if errors.Is(err, errTorn) {
			break
		}

		if err != nil && len(rest) < len(data) && isTornTail(rest) {
			break
		}

		if err != nil {
			return eris.Wrapf(err, "%s: offset %d: restore the disk or start this controller with an empty folder", path, len(data)-len(rest))
		}

		var r wire.Record
		if err := proto.Unmarshal(payload, &r); err != nil {
			return eris.Wrapf(err, "%s: offset %d", path, len(data)-len(rest))
		}

		ApplyRecord(restored, &r)

		rest = next
	}

	return j.reopen(path, int64(len(data)-len(rest)))
}

func (j *Journal) reopen(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return eris.Wrap(err, "open log")
	}

	if err := f.Truncate(size); err != nil {
		return errors.Join(eris.Wrap(err, "truncate torn tail"), f.Close())
	}

	if _, err := f.Seek(size, 0); err != nil {
		return errors.Join(eris.Wrap(err, "seek log"), f.Close())
	}

	j.log = f

	return eris.Wrap(f.Sync(), "sync log")
}

// ApplyRecord applies one record to the restored state.
func ApplyRecord(restored *replicator.RestoredState, r *wire.Record) {
	if r.GetHardState() != nil {
		restored.HardState = r.GetHardState()
	}

	if r.GetTruncates() {
		restored.Entries = slices.DeleteFunc(restored.Entries, func(e *wire.Entry) bool { return e.GetIndex() > r.GetTruncateAfter() })
	}

	restored.Entries = append(restored.Entries, r.GetEntries()...)
}

// Append writes a record and syncs it. After a failure the journal refuses all further writes, since the state of
// the disk is unknown.
func (j *Journal) Append(r *wire.Record) error {
	if j.failed != nil {
		return j.failed
	}

	payload, err := proto.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}

	if _, err := j.log.Write(encodeFrame(payload)); err != nil {
		return j.fail(err, "write log")
	}

	if err := j.log.Sync(); err != nil {
		return j.fail(err, "sync log")
	}

	return nil
}

func (j *Journal) fail(err error, what string) error {
	j.failed = eris.Wrap(err, what)

	return j.failed
}

// SaveSnapshot stores a snapshot, starts a new log file with the entries after it and deletes the old files.
func (j *Journal) SaveSnapshot(s *wire.Snapshot, state *wire.HardState, tail []*wire.Entry) error {
	if j.failed != nil {
		return j.failed
	}

	payload, err := proto.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}

	old := j.sequence
	j.sequence++

	if err := j.writeFile(filepath.Base(j.path(snapPrefix, j.sequence)), encodeFrame(payload)); err != nil {
		return j.fail(err, "save snapshot")
	}

	if err := j.startLog(&wire.Record{HardState: state, Entries: tail}); err != nil {
		return j.fail(err, "save snapshot")
	}

	return eris.Wrap(errors.Join(remove(j.path(logPrefix, old)), remove(j.path(snapPrefix, old))), "delete old files")
}

func (j *Journal) startLog(first *wire.Record) error {
	payload, err := proto.Marshal(first)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}

	frame := encodeFrame(payload)
	path := j.path(logPrefix, j.sequence)

	if err := j.writeFile(filepath.Base(path), frame); err != nil {
		return err
	}

	if j.log != nil {
		if err := j.log.Close(); err != nil {
			return eris.Wrap(err, "close old log")
		}
	}

	return j.reopen(path, int64(len(frame)))
}

func (j *Journal) writeFile(name string, data []byte) error {
	return writeFile(filepath.Join(j.folder, name), data)
}

func (j *Journal) path(prefix string, sequence uint64) string {
	return filepath.Join(j.folder, fmt.Sprintf("%s%d", prefix, sequence))
}

// Identity returns the identity of the disk, under which the controller votes.
func (j *Journal) Identity() string { return j.identity }

// Close releases the files and the lock.
func (j *Journal) Close() error {
	var errs []error
	if j.log != nil {
		errs = append(errs, j.log.Close())
	}

	if j.lock != nil {
		errs = append(errs, j.lock.Close())
	}

	return errors.Join(errs...)
}
