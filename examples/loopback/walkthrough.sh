#!/usr/bin/env bash
# Starts controllers, nodes and stand-in backend servers as separate processes on loopback addresses, edits the
# configuration, kills a controller and a node and reads in the time line what happened. Run from the root of the tree.
set -euo pipefail
bin=$PWD/bin
settings=$PWD/examples/loopback
document=$PWD/examples/kigali/document.yaml
work=$(mktemp -d)
cd "$work"
declare -A pids
stop() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait || true; rm -rf "$work"; }
trap stop EXIT
start() { local name=$1; shift; "$@" >"$name.log" 2>&1 & pids[$name]=$!; }
until_ok() { for _ in $(seq 150); do if "$@" >out.txt 2>&1; then return 0; fi; sleep 0.2; done; echo "gave up on: $*"; cat out.txt; exit 1; }
export TILLER_CONTROLLERS=127.2.1.200:7100,127.2.2.200:7100,127.2.3.200:7100
ctl=$bin/tillerctl

"$bin/controller" bootstrap --settings "$settings/controller-1.yaml"
for i in 1 2 3; do start "controller-$i" "$bin/controller" run --settings "$settings/controller-$i.yaml"; done
leads() { "$ctl" --output json status | grep -q '"current": true'; }
until_ok leads
echo "== first document"
"$ctl" config apply --reason "first document" --author walkthrough "$document"

node() { start "$1" "$bin/node" run --settings "$settings/$1.yaml"; }
backend() { start "backend-$1" "$bin/quickstart" backend --worker "$1" --service "$2" --address "$3:7102" --node "$3:7100"; }
node casting-board-1; backend casting-board-1 casting-board 127.2.1.1
node casting-board-2; backend casting-board-2 casting-board 127.2.2.1
node talent-index-1; backend talent-index-1 talent-index 127.2.1.2
node talent-index-2; backend talent-index-2 talent-index 127.2.3.1
until_ok curl -fsS http://127.2.1.2:7101/calls/open
echo "== a call through a node of another service: $(head -c 80 out.txt)..."
until_ok curl -fsS http://127.2.3.1:7101/calls/open
until_ok curl -fsS http://127.2.1.1:7100/readyz

echo "== an exception with a reason"
"$ctl" config show | grep -v '^#' >edited.yaml
sed -i 's/call_timeout_ms: 3000/call_timeout_ms: 2500/' edited.yaml
"$ctl" config diff edited.yaml
"$ctl" config apply --reason "shorter waits for browsing" --author walkthrough edited.yaml
in_force() { "$ctl" explain --node "$1" --service casting-board | grep -q '2500 ms'; }
for a in 127.2.1.1 127.2.2.1 127.2.1.2 127.2.3.1; do until_ok in_force "$a:7100"; done
"$ctl" status

echo "== kill -9 of the first controller and of a node"
kill -9 "${pids[controller-1]}" "${pids[casting-board-2]}"
until_ok leads
sed -i 's/call_timeout_ms: 2500/call_timeout_ms: 2600/' edited.yaml
until_ok "$ctl" config apply --reason "edit after the loss" --author walkthrough edited.yaml
start controller-1 "$bin/controller" run --settings "$settings/controller-1.yaml"
node casting-board-2
in_force() { "$ctl" explain --node "$1" --service casting-board | grep -q '2600 ms'; }
for a in 127.2.1.1 127.2.2.1 127.2.1.2 127.2.3.1; do until_ok in_force "$a:7100"; done
known() { [ "$("$ctl" --output json backends --node 127.2.1.1:7100 | grep -c '"state": "ready"')" = 4 ]; }
until_ok known
"$ctl" status
"$ctl" backends --node 127.2.1.1:7100

echo "== what happened"
"$ctl" timeline --kind accepted
"$ctl" timeline --kind elected
"$ctl" timeline --format html --out timeline.html
grep -q '<svg' timeline.html
kill "${pids[casting-board-2]}"
wait "${pids[casting-board-2]}" && echo "== the node stopped gracefully"
unset "pids[casting-board-2]"
echo "walkthrough done"
