package encoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// applyFunc sets the part of a document that one item encodes.
type applyFunc func(spec *tiller.DocumentSpec)

// Decoder decodes the items of successive versions. It reuses the results for items that it decoded in the previous version, so that
// the cost of an update depends on the size of the change and not on that of the document. It is not safe for concurrent use.
type Decoder struct {
	decoded map[*wire.Item]applyFunc
}

// NewDecoder returns a decoder without stored results.
func NewDecoder() *Decoder { return &Decoder{} }

// Decode returns the document that the items make up. Items must not be modified after the call, since results are stored by pointer.
func (d *Decoder) Decode(items []*wire.Item) (tiller.DocumentSpec, error) {
	spec := tiller.DocumentSpec{Defaults: map[string]int64{}}
	decoded := make(map[*wire.Item]applyFunc, len(items))

	for _, item := range items {
		apply, found := d.decoded[item]
		if !found {
			var err error
			if apply, err = decodeItem(item); err != nil {
				return tiller.DocumentSpec{}, eris.Wrapf(err, "decode item %q", item.GetPath())
			}
		}

		decoded[item] = apply
		apply(&spec)
	}

	d.decoded = decoded

	return spec, nil
}

// Decode returns the document that the items make up.
func Decode(items []*wire.Item) (tiller.DocumentSpec, error) {
	return NewDecoder().Decode(items)
}

func decodeItem(item *wire.Item) (applyFunc, error) {
	path := item.GetPath()

	switch {
	case path == revisionPath:
		var v uint64
		err := unmarshal(item.GetValue(), &v)

		return func(spec *tiller.DocumentSpec) { spec.Revision = v }, err
	case strings.HasPrefix(path, defaultPrefix):
		var v int64
		err := unmarshal(item.GetValue(), &v)

		return func(spec *tiller.DocumentSpec) { spec.Defaults[strings.TrimPrefix(path, defaultPrefix)] = v }, err
	case strings.HasPrefix(path, servicePrefix):
		v, err := decodeNamed(item, servicePrefix, func(s tiller.ServiceSpec) string { return s.Name })

		return func(spec *tiller.DocumentSpec) { spec.Services = append(spec.Services, v) }, err
	case strings.HasPrefix(path, routePrefix):
		v, err := decodeNamed(item, routePrefix, func(r tiller.RouteSpec) string { return r.Name })

		return func(spec *tiller.DocumentSpec) { spec.Routes = append(spec.Routes, v) }, err
	case strings.HasPrefix(path, exceptionPrefix):
		v, err := decodeNamed(item, exceptionPrefix, func(e tiller.ExceptionSpec) string { return e.Name })

		return func(spec *tiller.DocumentSpec) { spec.Exceptions = append(spec.Exceptions, v) }, err
	default:
		return nil, eris.New("unknown kind")
	}
}

// decodeNamed decodes a value whose name must equal the one in the item's path.
func decodeNamed[T any](item *wire.Item, prefix string, name func(T) string) (T, error) {
	var v T
	if err := unmarshal(item.GetValue(), &v); err != nil {
		return v, err
	}

	if prefix+name(v) != item.GetPath() {
		return v, eris.Errorf("holds %q", name(v))
	}

	return v, nil
}

func unmarshal(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()

	if err := d.Decode(v); err != nil {
		return eris.Wrap(err, "unmarshal")
	}

	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return eris.New("data after the value")
	}

	return nil
}
