package fleettest

import (
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/reflect/protoreflect"

	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/source/controller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// garbage generates messages that are well formed on the wire and arbitrary in content.
type garbage struct {
	random *rand.Rand
	// names are values that strings and bytes have at times, so that messages pass for those of known processes.
	names []string
}

const (
	maxGarbageDepth  = 5
	maxGarbageLength = 3
)

// envelope returns a message of a random kind.
func (g garbage) envelope(from, to string) *wire.Envelope {
	e := &wire.Envelope{From: from, To: to, Cluster: g.text(), Stamp: g.random.Uint64()}
	kinds := e.ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	kind := kinds.Get(g.random.IntN(kinds.Len()))
	body := e.ProtoReflect().NewField(kind)
	g.fill(body.Message(), 0)
	e.ProtoReflect().Set(kind, body)

	return e
}

// fill sets about half of the fields of a message.
func (g garbage) fill(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()

	for i := range fields.Len() {
		f := fields.Get(i)
		if g.random.IntN(2) == 0 || depth >= maxGarbageDepth {
			continue
		}

		switch {
		case f.IsMap():
			entries := m.Mutable(f).Map()
			for range g.random.IntN(maxGarbageLength) {
				value := entries.NewValue()
				if f.MapValue().Message() != nil {
					g.fill(value.Message(), depth+1)
				} else {
					value = g.scalar(f.MapValue())
				}

				entries.Set(g.scalar(f.MapKey()).MapKey(), value)
			}
		case f.IsList():
			list := m.Mutable(f).List()
			for range g.random.IntN(maxGarbageLength) {
				if f.Message() != nil {
					g.fill(list.AppendMutable().Message(), depth+1)
				} else {
					list.Append(g.scalar(f))
				}
			}
		case f.Message() != nil:
			g.fill(m.Mutable(f).Message(), depth+1)
		default:
			m.Set(f, g.scalar(f))
		}
	}
}

func (g garbage) scalar(f protoreflect.FieldDescriptor) protoreflect.Value {
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(g.random.IntN(2) == 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(g.random.IntN(12) - 1))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(g.text())
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(g.text()))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(g.number())
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(g.number()))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(g.number()))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(g.number()))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(g.random.NormFloat64())
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(g.random.NormFloat64()))
	default:
		panic("unexpected kind " + f.Kind().String())
	}
}

// number returns a small number, one near a power of two, or any.
func (g garbage) number() uint64 {
	switch g.random.IntN(3) {
	case 0:
		return g.random.Uint64N(4)
	case 1:
		return uint64(1)<<g.random.IntN(64) - g.random.Uint64N(2)
	default:
		return g.random.Uint64()
	}
}

func (g garbage) text() string {
	if g.random.IntN(2) == 0 {
		return g.names[g.random.IntN(len(g.names))]
	}

	text := make([]byte, g.random.IntN(20))
	for i := range text {
		text[i] = byte(' ' + g.random.IntN('~'-' '))
	}

	return string(text)
}

// TestNoMessagePanics guards against a process that one malformed message brings down. The cores are those of a running fleet; each seed
// damages a fleet of its own, whose state is not checked.
func TestNoMessagePanics(t *testing.T) {
	const messages = 3000

	for seed := range uint64(20) {
		f := newFleet(t, 2, 2)
		f.run(10 * 1000)

		g := garbage{random: rand.New(rand.NewPCG(seed, seed))}
		for _, n := range f.nodes {
			g.names = append(g.names, n.config.Name, string(n.config.Address), string(n.config.DataCentre), string(n.config.Service))
		}

		for _, c := range f.controllers {
			g.names = append(g.names, c.address, c.address+"-disk", c.core.Cluster())
		}

		for range messages {
			from, to := f.nodes[g.random.IntN(len(f.nodes))], f.nodes[g.random.IntN(len(f.nodes))]
			c := f.controllers[g.random.IntN(len(f.controllers))]

			requireNoPanic(t, seed, g.envelope(string(from.config.Address), string(to.config.Address)), func(e *wire.Envelope) {
				to.core.Step(f.now, node.Receive{Envelope: e})
				to.core.Step(f.now, node.Tick{})
			})
			requireNoPanic(t, seed, g.envelope(string(from.config.Address), c.address), func(e *wire.Envelope) {
				c.core.Step(f.now, controller.Receive{Envelope: e})
				c.core.Step(f.now, controller.Tick{})
			})

			f.now += 10
		}
	}
}

func requireNoPanic(t *testing.T, seed uint64, e *wire.Envelope, receive func(e *wire.Envelope)) {
	t.Helper()

	defer func() {
		if p := recover(); p != nil {
			require.Fail(t, fmt.Sprintf("seed %d: %v", seed, p), "%v\n%s", e, debug.Stack())
		}
	}()

	receive(e)
}
