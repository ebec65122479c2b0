#!/bin/sh
# Usage: measure_notes.sh BUILD [NOTES]
# Measures the time from the acceptance of a release note until it is in force
# at each of 9 processes: with the store healthy, slow, and down right after the
# acceptance. Also measures the rate of calls to the store while nothing
# changes.
set -u
PATH=$1:$PATH
notes=${2:-9}
names="a-1 a-2 a-3 b-1 b-2 b-3 c-1 c-2 c-3"
. tests/scripts/fleet.sh

# The store stand-in logs each transaction. Up to version 63 each transaction is
# one note, so line N is the acceptance of version N.
accepted_ms() { # version
	sed -n "$1{s/.*time_ms=//;p;}" "$dir/store"
}

in_force_times() { # version
	accepted=$(accepted_ms "$1")
	grep -h "in_force version=$1 " "$dir"/*.log | while read -r stamp rest; do
		echo $(($(date -d "${stamp#time=}" +%s%3N) - accepted))
	done
}

measure() { # mode
	: >"$dir/versions"
	for slots in $(seq 1 "$notes"); do
		if [ "$1" = down ]; then
			switch '{"down": false}'
			sleep 6
			switch '{"down_after_writes": 1}'
		fi
		change_note change.json "$slots"
		chervilmast publish --settings "$dir/a-1.json" "$dir/change.json" |
			sed 's/version=\([0-9]*\).*/\1/' >>"$dir/versions"
		sleep 1
	done
	switch '{"down": false, "slow_ms": 0, "down_after_writes": 0}'
	sleep 8
	while read -r version; do
		in_force_times "$version"
	done <"$dir/versions" | sort -n >"$dir/$1.times"
	awk -v mode="$1" -v notes="$notes" '{ t[NR] = $1 }
		END { printf "note_in_force_ms store=%s notes=%d samples=%d median=%d max=%d\n",
			mode, notes, NR, t[int((NR + 1) / 2)], t[NR] }' "$dir/$1.times"
}

calls() {
	standin switch "$store_port" '{}' | tr -dc 0-9
}

first_note
# shellcheck disable=SC2086
start_store $names
for name in $names; do
	start_entry "$name"
done
chervilmast publish --wait --settings "$dir/a-1.json" "$dir/first.json" >/dev/null
# An instance that is no longer a watcher still holds its open watch until the
# watch times out (CM_WATCH_TIMEOUT_MS).
sleep 22
before=$(calls)
sleep 30
after=$(calls)
awk -v calls=$((after - before)) 'BEGIN {
	printf "store_calls_per_instance_s instances=9 idle_s=30 value=%.3f\n", calls / 30 / 9 }'
measure healthy
switch '{"slow_ms": 300}'
measure slow
measure down
