#!/bin/sh
# process.sh BUILD SECONDS SEED...: runs the process tests, first the scenarios
# with a fixed sequence of faults, then SECONDS of random faults for each seed.
# Keeps the files of a failed run. A run does not fail the script if
# KNOWN-RED.txt lists all its violations for its seed and the logs show their
# cause, see is_known(); it is printed as known red.
set -u
build=$1
seconds=$2
shift 2
failed=0
net=40

# Checks whether KNOWN-RED.txt lists each violation of a completed run, and
# whether the logs show their known cause: an instance without a plan refused a
# SYN that had waited in its socket for a second or more.
is_known() { # seed seconds|scenario directory
	kinds=$(sed -n 's/^violation at [0-9]* ms: //p' "$3/out" | sed 's/[0-9][0-9]*/N/g' | sort -u)
	[ -n "$kinds" ] || return 1
	grep -q '^seed .* violations$' "$3/out" || return 1
	grep -qsE 'reason=steer_no_plan .*waited_ms=[0-9]{4,} ' "$3"/*.log || return 1
	echo "$kinds" | while read -r kind; do
		grep -qs "^process SEED=$1 SECONDS=$2 $kind:" KNOWN-RED.txt || exit 1
	done
}

run() { # seed seconds|scenario
	dir=$build/process.files/$1-$2
	rm -rf "$dir"
	mkdir -p "$dir"
	net=$((net + 1))
	if timeout 180 "$build/process" "$1" "$2" "$build/chervilmast" "$dir" "$net" >"$dir/out" 2>&1; then
		tail -n 1 "$dir/out"
		rm -rf "$dir"
	else
		grep -h violation "$dir/out"
		if is_known "$1" "$2" "$dir"; then
			echo "known red: seed $1, files in $dir"
		else
			echo "FAILED: seed $1, files in $dir"
			failed=$((failed + 1))
		fi
	fi
}
scenarios='plain blocked-log slow-start paused-start older-copy'
for scenario in $scenarios; do
	run 1 "$scenario"
done
for seed in "$@"; do
	run "$seed" "$seconds"
done
echo "$((5 + $# - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
