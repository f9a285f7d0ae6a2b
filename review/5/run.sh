#!/usr/bin/env bash
# Plays the case with the programs in target/; TROUBLE=0 leaves the disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
for program in node controller review-standin; do
	[ -x "target/$program" ] || { echo "target/$program is missing: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
done
export TROUBLE="${TROUBLE:-1}"
exec target/review-standin withdrawn "$root/target" "$here/record.txt"
