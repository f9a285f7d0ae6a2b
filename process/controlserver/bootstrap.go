package controlserver

import (
	"errors"
	"slices"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"gitlab.com/sycamoretiller/sycamoretiller/source/arbiter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/journaler"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Bootstrap makes a fresh data folder the first voter of a new cluster. It refuses a folder that already holds a log.
func Bootstrap(settings Settings) error {
	return seed(settings, arbiter.New(1))
}

// form gives a fresh data folder its part in a cluster that the initial voters form together: each works out the same first
// snapshot from the same addresses. The disk takes the identity that the others expect, which no later disk can take.
func form(settings Settings) error {
	voters := make([]*wire.Member, 0, len(settings.InitialVoters))
	for _, address := range slices.Sorted(slices.Values(settings.InitialVoters)) {
		voters = append(voters, &wire.Member{Id: initialIdentity(address), Name: address, Address: address})
	}

	journal, restored, err := journaler.Open(settings.DataFolder, journaler.WithIdentity(initialIdentity(settings.Address)))
	if err != nil {
		return err
	}

	if restored.Snapshot != nil || len(restored.Entries) > 0 || journal.Identity() != initialIdentity(settings.Address) {
		return journal.Close()
	}

	return errors.Join(saveFirst(journal, arbiter.New(1), clusterOf(voters), voters...), journal.Close())
}

// saveFirst writes the first snapshot of a cluster.
func saveFirst(journal *journaler.Journal, state *arbiter.State, cluster string, voters ...*wire.Member) error {
	data, err := state.Encode()
	if err != nil {
		return err
	}

	return journal.SaveSnapshot(replicator.Bootstrap(cluster, data, voters...), &wire.HardState{Term: 1}, nil)
}

// identitySpace makes the identities of initial voters and the cluster's differ from random ones.
var identitySpace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("sycamoretiller:initial-voter"))

func initialIdentity(address string) string {
	return uuid.NewSHA1(identitySpace, []byte(address)).String()
}

func clusterOf(voters []*wire.Member) string {
	var all []byte
	for _, v := range voters {
		all = append(all, v.GetId()...)
	}

	return uuid.NewSHA1(identitySpace, all).String()
}

// seed writes the first snapshot of a cluster into a fresh data folder.
func seed(settings Settings, state *arbiter.State) error {
	journal, restored, err := journaler.Open(settings.DataFolder)
	if err != nil {
		return err
	}

	if restored.Snapshot != nil || len(restored.Entries) > 0 {
		return errors.Join(eris.Errorf("%s already holds a log", settings.DataFolder), journal.Close())
	}

	return errors.Join(saveFirst(journal, state, uuid.NewString(), memberOf(settings, journal.Identity())), journal.Close())
}

func memberOf(settings Settings, identity string) *wire.Member {
	return &wire.Member{Id: identity, Name: settings.Name, Address: settings.Address}
}
