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

// Bootstrap creates a new cluster in the empty data folder of its only voter. It returns an error if the folder already contains a log.
func Bootstrap(settings Settings) error {
	return createCluster(settings, arbiter.New(1))
}

// formCluster creates a new cluster together with the other initial voters: each of them writes the same first snapshot, derived from the same
// addresses, into its own empty data folder. The disk gets the identity that the other voters expect; a replacement disk cannot get it. A
// folder that contains a log or has another identity stays unchanged.
func formCluster(settings Settings) error {
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

	return errors.Join(saveFirstSnapshot(journal, arbiter.New(1), clusterID(voters), voters...), journal.Close())
}

// saveFirstSnapshot writes the first snapshot of a cluster.
func saveFirstSnapshot(journal *journaler.Journal, state *arbiter.State, cluster string, voters ...*wire.Member) error {
	data, err := state.Encode()
	if err != nil {
		return err
	}

	return journal.SaveSnapshot(replicator.Bootstrap(cluster, data, voters...), &wire.HardState{Term: 1}, nil)
}

// identityNamespace is the UUID namespace of the identities derived for initial voters and their cluster; it keeps them apart from random
// UUIDs.
var identityNamespace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("sycamoretiller:initial-voter"))

func initialIdentity(address string) string {
	return uuid.NewSHA1(identityNamespace, []byte(address)).String()
}

func clusterID(voters []*wire.Member) string {
	var all []byte
	for _, v := range voters {
		all = append(all, v.GetId()...)
	}

	return uuid.NewSHA1(identityNamespace, all).String()
}

// createCluster writes the first snapshot of a cluster with one voter into an empty data folder.
func createCluster(settings Settings, state *arbiter.State) error {
	journal, restored, err := journaler.Open(settings.DataFolder)
	if err != nil {
		return err
	}

	if restored.Snapshot != nil || len(restored.Entries) > 0 {
		return errors.Join(eris.Errorf("%s already holds a log", settings.DataFolder), journal.Close())
	}

	return errors.Join(saveFirstSnapshot(journal, state, uuid.NewString(), newMember(settings, journal.Identity())), journal.Close())
}

func newMember(settings Settings, identity string) *wire.Member {
	return &wire.Member{Id: identity, Name: settings.Name, Address: settings.Address}
}
