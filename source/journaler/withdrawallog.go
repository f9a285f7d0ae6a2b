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
	withdrawalFile = "withdrawals"
	// maxWithdrawalFileBytes is the size from which on the file is replaced by one without expired records.
	maxWithdrawalFileBytes = 1 << 20
)

// WithdrawalLog is a controller's file of withdrawals. Every append is synced to disk. After a failure, only Replace makes it usable again.
type WithdrawalLog struct {
	folder string
	file   *os.File
	size   int64
}

// OpenWithdrawalLog opens the file in a folder, which must exist, and returns its records up to the first that is incomplete or damaged.
// Withdrawals matter for minutes only and other controllers store them too, so the rest is discarded. After an error the log is returned as
// after a failure.
func OpenWithdrawalLog(folder string) (*WithdrawalLog, []*wire.WithdrawalRecord, error) {
	l := &WithdrawalLog{folder: folder}

	data, err := os.ReadFile(l.path())
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return l, nil, eris.Wrap(err, "read withdrawals")
	}

	var records []*wire.WithdrawalRecord

	for len(data) > 0 {
		payload, rest, err := decodeFrame(data)
		if err != nil {
			break
		}

		r := &wire.WithdrawalRecord{}
		if proto.Unmarshal(payload, r) != nil {
			break
		}

		records = append(records, r)
		data = rest
	}

	return l, records, l.Replace(records)
}

func (l *WithdrawalLog) path() string { return filepath.Join(l.folder, withdrawalFile) }

// IsLarge reports whether the file should be replaced.
func (l *WithdrawalLog) IsLarge() bool { return l.size >= maxWithdrawalFileBytes }

// Append writes records and syncs them.
func (l *WithdrawalLog) Append(records []*wire.WithdrawalRecord) error {
	if l.file == nil {
		return eris.New("the file of withdrawals is not open")
	}

	data, err := encodeRecords(records)
	if err != nil {
		return err
	}

	if _, err := l.file.Write(data); err != nil {
		return l.fail(err, "write withdrawals")
	}

	if err := l.file.Sync(); err != nil {
		return l.fail(err, "sync withdrawals")
	}

	l.size += int64(len(data))

	return nil
}

// fail closes the file, since the end of its content is unknown.
func (l *WithdrawalLog) fail(err error, what string) error {
	return errors.Join(eris.Wrap(err, what), l.Close())
}

// Replace replaces the content of the file.
func (l *WithdrawalLog) Replace(records []*wire.WithdrawalRecord) error {
	data, err := encodeRecords(records)
	if err != nil {
		return err
	}

	if err := writeFile(l.path(), data); err != nil {
		return err
	}

	f, err := os.OpenFile(l.path(), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return eris.Wrap(err, "open withdrawals")
	}

	err = l.Close()
	l.file, l.size = f, int64(len(data))

	return err
}

func encodeRecords(records []*wire.WithdrawalRecord) ([]byte, error) {
	var out bytes.Buffer

	for _, r := range records {
		payload, err := proto.Marshal(r)
		if err != nil {
			return nil, eris.Wrap(err, "encode withdrawals")
		}

		out.Write(encodeFrame(payload))
	}

	return out.Bytes(), nil
}

// Close closes the file.
func (l *WithdrawalLog) Close() error {
	if l.file == nil {
		return nil
	}

	f := l.file
	l.file = nil

	return eris.Wrap(f.Close(), "close withdrawals")
}
