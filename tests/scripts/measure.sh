#!/bin/sh
# Usage: measure.sh BUILD SEED
# Writes BUILD/measure.json with three groups of figures: decisions in virtual
# time, one entry process compared with a bare UDP loop, and 9 processes under
# load while a failure domain is taken out and brought back in.
set -u
PATH=$1:$PATH
seed=$2
names="a-1 a-2 a-3 b-1 b-2 b-3 c-1 c-2 c-3"
callers=60
run_s=22
. tests/scripts/fleet.sh

metric() { # name; prints the sum over all instances
	for name in $names; do
		curl -s "http://$(address "$name"):9100/metrics"
	done | awk -v name="chervilmast_$1" '$1 == name { sum += $2 } END { printf "%d", sum }'
}

domain() { # state
	cat >"$dir/$1.json" <<END
{ "failure_domains": { "change": [ { "name": "b", "state": "$1" } ] } }
END
	chervilmast publish --settings "$dir/a-1.json" "$dir/$1.json" >>"$dir/published"
}

# Prints for each note and instance the time from the acceptance of the note
# until the instance logs it as in force, ms.
in_force_times() {
	while read -r version accepted_ms; do
		grep -h "event=note_in_force version=$version " "$dir"/*.log |
			while read -r stamp rest; do
				echo $(($(date -d "${stamp#time=}" +%s%3N) - accepted_ms))
			done
	done <"$dir/accepted" | sort -n
}

accept() { # command that publishes a note; records version and acceptance time
	"$@"
	version=$(sed -n '$s/version=\([0-9]*\).*/\1/p' "$dir/published")
	echo "$version $(sed -n "$version{s/.*time_ms=//;p;}" "$dir/store")" >>"$dir/accepted"
}

measure core "$seed" "$dir/core.json" || exit 1

sed -e 's/"sapporo"/"a"/; s/"asahikawa"/"b"/; s/"kushiro"/"c"/' \
	-e 's/"cold_start_s": 5/"cold_start_s": 3/' examples/kitami-note.json >"$dir/note.json"
# shellcheck disable=SC2086
start_store $names
start_entry a-1
sleep 0.5
sed -e 's/"failure_domain": "[bc]"/"failure_domain": "a"/' \
	-e 's/"cold_start_s": 3/"cold_start_s": 0/' "$dir/note.json" >"$dir/one.json"
chervilmast publish --settings "$dir/a-1.json" "$dir/one.json" >/dev/null || exit 1
sleep 1.5
measure link "$(address a-1)" 127.0.0.1 "$fabric_port" "$dir/link.json" || exit 1
stop_all
pids=
rm -f "$dir"/*.log

# shellcheck disable=SC2086
start_store $names
for name in $names; do
	start_entry "$name"
done
sleep 0.5
chervilmast publish --settings "$dir/a-1.json" "$dir/note.json" >"$dir/published" || exit 1
sleep 1.5
standin world "$dir/note.json" "$dir/instances" 127.0.0.1 "$fabric_port" "$callers" \
	"$run_s" "$seed" 9100 b >"$dir/totals" &
world=$!
sleep 5
bytes=$(metric control_bytes_sent_total)
calls=$(metric store_calls_total)
began=$(date +%s%3N)
accept domain out
kill -USR1 "$world"
sleep 5
kill -USR2 "$world"
accept domain in
sleep 8
ended=$(date +%s%3N)
bytes=$(($(metric control_bytes_sent_total) - bytes))
calls=$(($(metric store_calls_total) - calls))
wait "$world"
result=$?
in_force_times >"$dir/times"
{
	sed 's/ /\n/g' "$dir/totals"
	awk '{ t[NR] = $1 } END {
		printf "note_in_force_ms_median=%d\nnote_in_force_ms_max=%d\n", t[int((NR + 1) / 2)], t[NR] }' "$dir/times"
	awk -v ms=$((ended - began)) -v bytes=$bytes -v calls=$calls 'BEGIN {
		printf "control_bytes_per_instance_s=%.1f\n", bytes / 9 / ms * 1000
		printf "store_calls_per_instance_s=%.3f\n", calls / 9 / ms * 1000 }'
} >"$dir/fleet"
measure merge "$build/measure.json" "$dir/core.json" "$dir/link.json" "$dir/fleet" || exit 1
cat "$build/measure.json"
exit $result
