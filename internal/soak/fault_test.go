package soak_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// stopBound is the time after SIGTERM within which a process must exit: its leave notice, its drain time and a margin for a busy machine.
const stopBound = (noticeMs+drainMs)*time.Millisecond + 5*time.Second

// fault is a fault that is injected at a given time after the start of the schedule. Its inject function returns when the fault has ended.
type fault struct {
	name   string
	at     time.Duration
	inject func() error
}

// logPrefix begins the names of a controller's log files; a sequence number follows.
const logPrefix = "wal-"

func (f fault) String() string { return fmt.Sprintf("%s at %s", f.name, f.at) }

// randomDuration returns a random duration within bounds.
func randomDuration(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func pickProcess(r *rand.Rand, from []*process) *process { return from[r.IntN(len(from))] }

// schedule returns random faults that may overlap. Disks are lost one at a time and at least 8 s apart, which gives the cluster time for its
// repair.
func (f *fleet) schedule(r *rand.Rand, length time.Duration) []fault {
	var (
		out      []fault
		nextLoss = time.Duration(0)
	)

	for at := randomDuration(r, 0, time.Second); at < length; at += randomDuration(r, 100*time.Millisecond, 2*time.Second) {
		// Kills are listed twice, so that they are twice as frequent.
		kinds := []func(*rand.Rand) fault{
			f.killFault, f.killFault, f.stopFault, f.pauseFault, f.delayFault, f.blackholeFault, f.resetFault, f.groupKillFault, f.tornLogFault,
			f.crashFault,
		}
		if at >= nextLoss {
			kinds = append(kinds, f.lostDiskFault)
		}

		chosen := kinds[r.IntN(len(kinds))](r)
		chosen.at = at

		if chosen.name == lostDisk {
			nextLoss = at + 8*time.Second
		}

		out = append(out, chosen)
	}

	return out
}

// killFault kills a process and restarts it.
func (f *fleet) killFault(r *rand.Rand) fault {
	p, down := pickProcess(r, f.processes()), randomDuration(r, 50*time.Millisecond, 2*time.Second)

	return fault{name: "kill " + p.name, inject: func() error {
		p.kill()
		time.Sleep(down)

		return p.start()
	}}
}

// stopFault stops a process gracefully and restarts it.
func (f *fleet) stopFault(r *rand.Rand) fault {
	p, down := pickProcess(r, f.processes()), randomDuration(r, 50*time.Millisecond, time.Second)

	return fault{name: "stop " + p.name, inject: func() error {
		err := p.terminate(stopBound)
		time.Sleep(down)

		return errors.Join(err, p.start())
	}}
}

// pauseFault suspends a process for a while, so that it does not respond.
func (f *fleet) pauseFault(r *rand.Rand) fault {
	p, lasts := pickProcess(r, f.processes()), randomDuration(r, 200*time.Millisecond, 3*time.Second)

	return fault{name: "pause " + p.name, inject: func() error {
		p.pause(lasts)

		return nil
	}}
}

// delayFault delays what peers and callers send to a process.
func (f *fleet) delayFault(r *rand.Rand) fault {
	p, delay, lasts := pickProcess(r, f.processes()), randomDuration(r, 5*time.Millisecond, 200*time.Millisecond),
		randomDuration(r, time.Second, 3*time.Second)

	return fault{name: "delay to " + p.name, inject: func() error {
		p.proxy.delay.Store(int64(delay))
		time.Sleep(lasts)
		p.proxy.delay.Store(0)

		return nil
	}}
}

// blackholeFault discards what others send to a process. What the process sends on connections of its own still arrives.
func (f *fleet) blackholeFault(r *rand.Rand) fault {
	p, lasts := pickProcess(r, f.processes()), randomDuration(r, 500*time.Millisecond, 4*time.Second)

	return fault{name: "blackhole to " + p.name, inject: func() error {
		p.proxy.blackhole.Store(true)
		time.Sleep(lasts)
		p.proxy.blackhole.Store(false)

		return nil
	}}
}

// resetFault resets the connections to a process several times.
func (f *fleet) resetFault(r *rand.Rand) fault {
	p, times := pickProcess(r, f.processes()), 1+r.IntN(4)

	return fault{name: "resets to " + p.name, inject: func() error {
		for range times {
			p.proxy.resetAll()
			time.Sleep(100 * time.Millisecond)
		}

		return nil
	}}
}

// groupKillFault kills all nodes or all controllers at once and restarts them.
func (f *fleet) groupKillFault(r *rand.Rand) fault {
	name, all := "kill all nodes", f.nodes
	if r.IntN(2) == 0 {
		name, all = "kill all controllers", f.controllers
	}

	down := randomDuration(r, 50*time.Millisecond, time.Second)

	return fault{name: name, inject: func() error { return killAndRestart(all, down) }}
}

// killAndRestart kills processes at once and starts them again after a time.
func killAndRestart(all []*process, down time.Duration) error {
	for _, p := range all {
		p.kill()
	}

	time.Sleep(down)

	var errs []error
	for _, p := range all {
		errs = append(errs, p.start())
	}

	return errors.Join(errs...)
}

// tornLogFault kills a controller and appends zero bytes to its log, which a power failure during a write can leave there.
func (f *fleet) tornLogFault(r *rand.Rand) fault {
	p, torn := pickProcess(r, f.controllers), 1+r.IntN(64)

	return fault{name: "torn log of " + p.name, inject: func() error {
		p.kill()

		err := appendZeros(f.dataOf(p), torn)
		if errors.Is(err, errNoLog) {
			// An overlapping fault has deleted the data folder.
			err = nil
		}

		return errors.Join(err, p.start())
	}}
}

const lostDisk = "lost disk"

// lostDiskFault kills a controller and deletes its data folder. The controller rejoins the cluster under a new identity.
func (f *fleet) lostDiskFault(r *rand.Rand) fault {
	p := pickProcess(r, f.controllers)

	return fault{name: lostDisk, inject: func() error {
		p.kill()

		// Without initial voters the settings state that the cluster exists, as they do after an operator has replaced the disk.
		return errors.Join(os.RemoveAll(f.dataOf(p)), p.removeSetting("initial_voters"), p.start())
	}}
}

func (f *fleet) dataOf(p *process) string {
	return filepath.Join(f.folder, "data-"+p.name[len(p.name)-1:])
}

// appendZeros appends n zero bytes to the latest log file of a controller's data folder.
func appendZeros(folder string, n int) error {
	path, err := latestLog(folder)
	if err != nil {
		return err
	}

	log, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	_, err = log.Write(make([]byte, n))

	return errors.Join(err, log.Close())
}

var errNoLog = errors.New("the data folder holds no log file")

// latestLog returns the log file with the highest sequence number, or errNoLog.
func latestLog(folder string) (string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}

	latest, found := uint64(0), false

	for _, e := range entries {
		sequence, err := strconv.ParseUint(strings.TrimPrefix(e.Name(), logPrefix), 10, 64)
		if strings.HasPrefix(e.Name(), logPrefix) && err == nil {
			latest, found = max(latest, sequence), true
		}
	}

	if !found {
		return "", errNoLog
	}

	return filepath.Join(folder, logPrefix+strconv.FormatUint(latest, 10)), nil
}

// crashFault sends a request that crashes the backend server which runs it.
func (f *fleet) crashFault(r *rand.Rand) fault {
	dc, octet := nodePosition(r.IntN(len(f.nodes)))
	// The path must differ from those of the callers: the request will be quarantined, also for callers that send it without the header.
	path := fmt.Sprintf("/profiles/crash-%d", r.IntN(1000))

	return fault{name: "crashing request", inject: func() error {
		sendCrashingRequest(advertisedHost(dc, octet)+":"+callPort, path)

		return nil
	}}
}

const (
	// departureBound is the time after the acknowledgement of a departure after which the server must get no more requests.
	departureBound = 2 * time.Second
	// departureServes is how long a server serves on after its departure, and departureTouch how long its node must be undisturbed for the bound
	// to hold.
	departureServes = 8 * time.Second
	departureTouch  = 3 * time.Second
)

// departures returns departures of servers, one after the other.
func (f *fleet) departures(r *rand.Rand, length time.Duration) []fault {
	var out []fault

	for at := randomDuration(r, 0, time.Second); at < length; at += departureServes {
		chosen := f.departureFault(r)
		chosen.at = at
		out = append(out, chosen)
	}

	return out
}

// departureFault lets a server leave. An announcement from before arrives late; meanwhile no node, its own or all of them are killed.
func (f *fleet) departureFault(r *rand.Rand) fault {
	i, late := r.IntN(len(f.nodes)), randomDuration(r, time.Second, 4*time.Second)
	killed := [][]*process{nil, {f.nodes[i]}, f.nodes}[r.IntN(3)]
	b, node := f.backends[i], f.nodes[i]

	return fault{name: fmt.Sprintf("departure of the server of %s, %d nodes killed", node.name, len(killed)), inject: func() error {
		ctx := context.Background()
		acknowledged := b.Depart(ctx, departureBound)

		// The server repeats its report until it is acknowledged.
		for end := time.Now().Add(departureServes); !acknowledged && time.Now().Before(end); acknowledged = b.Depart(ctx, departureBound) {
			time.Sleep(pollPause)
		}

		if !acknowledged {
			return nil
		}

		f.departed.Add(1)

		left := time.Now()
		err := killAndRestart(killed, 0)

		time.Sleep(time.Until(left.Add(late)))
		b.AnnounceLate(ctx)
		time.Sleep(time.Until(left.Add(departureServes)))

		acknowledgedAt, lateRuns := b.Return()

		for _, at := range lateRuns {
			if !node.disturbedBefore(at, departureTouch) {
				f.tally.AddViolation("the server of %s got a request %s after its departure was acknowledged", node.name, at.Sub(acknowledgedAt))
			}
		}

		return err
	}}
}
