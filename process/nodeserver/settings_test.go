package nodeserver_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/process/nodeserver"
)

const validSettings = `name: casting-board-1
data_centre: kigali-1
service: casting-board
address: 10.0.0.1:7100
call_address: 10.0.0.1:7101
controllers: [10.0.0.9:7100]
`

func TestReadSettings(t *testing.T) {
	cases := []struct {
		name string
		text string
		want string
	}{
		{"valid", validSettings, ""},
		{"unknown key", validSettings + "colour: red\n", "colour"},
		{"wrong unit", validSettings + "drain_ms: 5s\n", "drain_ms"},
		{"bad address", validSettings + "seeds: [10.0.0.1]\n", ":7: seeds[0]"},
		{"missing data centre", "name: a\nservice: b\naddress: 1.1.1.1:1\ncall_address: 1.1.1.1:2\ncontrollers: [1.1.1.1:3]\n", "data_centre"},
		{"bind host with a port", validSettings + "bind_host: 10.0.0.1:80\n", "bind_host"},
		{"two documents", validSettings + "---\nname: b\n", "more than one"},
		{"empty", "", "empty"},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.yaml")
			require.NoError(t, os.WriteFile(path, []byte(tc.text), 0o600))

			_, err := nodeserver.ReadSettings(path)
			if tc.want == "" {
				require.NoError(t, err)

				return
			}

			require.ErrorContains(t, err, path)
			require.ErrorContains(t, err, tc.want)
		})
	}
}
