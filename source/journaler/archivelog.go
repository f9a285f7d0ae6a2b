package journaler

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	archiveFile = "archive"
	// maxArchiveFileBytes is the size from which on the file is replaced by one without expired records.
	maxArchiveFileBytes = 1 << 20
)

// ArchiveLog is a controller's file of withdrawals and crash records. Every append is synced to disk. After a failure, only Replace makes it
// usable again.
type ArchiveLog struct {
	folder string
	file   *os.File
	size   int64
}

// OpenArchiveLog opens the file in a folder, which must exist, and returns its records up to the first that is incomplete or damaged.
// They matter for minutes only and other controllers store them too, so the rest is discarded. After an error the log is returned as
// after a failure.
func OpenArchiveLog(folder string) (*ArchiveLog, []*wire.ArchiveRecord, error) {
	l := &ArchiveLog{folder: folder}

	data, err := os.ReadFile(l.path())
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return l, nil, eris.Wrap(err, "read archive")
	}

	var records []*wire.ArchiveRecord

	for len(data) > 0 {
		payload, rest, err := decodeFrame(data)
		if err != nil {
			break
		}

		r := &wire.ArchiveRecord{}
		if proto.Unmarshal(payload, r) != nil {
			break
		}

		records = append(records, r)
		data = rest
	}

	return l, records, l.Replace(records)
}

func (l *ArchiveLog) path() string { return filepath.Join(l.folder, archiveFile) }

// IsLarge reports whether the file should be replaced.
func (l *ArchiveLog) IsLarge() bool { return l.size >= maxArchiveFileBytes }

// Append writes records and syncs them.
func (l *ArchiveLog) Append(records []*wire.ArchiveRecord) error {
	if l.file == nil {
		return eris.New("the archive is not open")
	}

	data, err := encodeRecords(records)
	if err != nil {
		return err
	}

	if _, err := l.file.Write(data); err != nil {
		return l.fail(err, "write archive")
	}

	if err := l.file.Sync(); err != nil {
		return l.fail(err, "sync archive")
	}

	l.size += int64(len(data))

	return nil
}

// fail closes the file, since the end of its content is unknown.
func (l *ArchiveLog) fail(err error, what string) error {
	return errors.Join(eris.Wrap(err, what), l.Close())
}

// Replace replaces the content of the file.
func (l *ArchiveLog) Replace(records []*wire.ArchiveRecord) error {
	data, err := encodeRecords(records)
	if err != nil {
		return err
	}

	if err := writeFile(l.path(), data); err != nil {
		return err
	}

	f, err := os.OpenFile(l.path(), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return eris.Wrap(err, "open archive")
	}

	err = l.Close()
	l.file, l.size = f, int64(len(data))

	return err
}

func encodeRecords(records []*wire.ArchiveRecord) ([]byte, error) {
	var out bytes.Buffer

	for _, r := range records {
		payload, err := proto.Marshal(r)
		if err != nil {
			return nil, eris.Wrap(err, "encode archive")
		}

		out.Write(encodeFrame(payload))
	}

	return out.Bytes(), nil
}

// Close closes the file.
func (l *ArchiveLog) Close() error {
	if l.file == nil {
		return nil
	}

	f := l.file
	l.file = nil

	return eris.Wrap(f.Close(), "close archive")
}
