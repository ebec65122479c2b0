#!/bin/sh
# process.sh BUILD SECONDS SEED...: runs the process tests, first the scenarios
# with a fixed sequence of faults, then SECONDS of random faults for each seed.
# Keeps the files of a failed run.
set -u
build=$1
seconds=$2
shift 2
failed=0
net=40
run() { # seed seconds|scenario
	dir=$build/process.files/$1-$2
	rm -rf "$dir"
	mkdir -p "$dir"
	net=$((net + 1))
	if timeout 180 "$build/process" "$1" "$2" "$build/chervilmast" "$dir" "$net" >"$dir/out" 2>&1; then
		tail -n 1 "$dir/out"
		rm -rf "$dir"
	else
		grep -h broken "$dir/out"
		echo "FAILED: seed $1, files in $dir"
		failed=$((failed + 1))
	fi
}
scenarios='plain blocked-log slow-start'
for scenario in $scenarios; do
	run 1 "$scenario"
done
for seed in "$@"; do
	run "$seed" "$seconds"
done
echo "$((3 + $# - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
