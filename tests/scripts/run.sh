#!/bin/sh
# Runs the whole system on loopback: 9 instances in 3 failure domains, the store
# stand-in, the services and backend servers of the Kitami example, and callers.
# See README.md.
set -u
PATH=$1:$PATH
dir=$1/run
threads=2
drain_timeout_s=2
no_peers=1
. tests/scripts/fleet.sh
# Duration of the load. With RUN_ROLL, only an upper bound: the load ends after
# the last restart.
seconds=${RUN_SECONDS:-$([ -n "${RUN_ROLL-}" ] && echo 120 || echo 10)}
callers=${RUN_CALLERS:-60}
seed=${RUN_SEED:-1}
names="sapporo-1 sapporo-2 sapporo-3 asahikawa-1 asahikawa-2 asahikawa-3 kushiro-1 kushiro-2 kushiro-3"
trap 'exit 1' INT TERM

pid_of() { # name
	eval "echo \$pid_$(echo "$1" | tr - _)"
}

# Checks that an instance is ready and that all instances report 9 live members,
# as docs/OPERATIONS.md requires before the next restart.
is_back() { # name
	curl -sf "http://$(address "$1"):9100/healthz" >"$dir/health" || return 1
	for other in $names; do
		curl -sf "http://$(address "$other"):9100/metrics" |
			grep -q '^chervilmast_members_alive[^ ]* 9$' || return 1
	done
}

# Rolling restart as by an operator, except that the fabric keeps sending
# packets to an instance until it has exited.
roll() {
	for name in $names; do
		pid=$(pid_of "$name")
		kill -TERM "$pid"
		wait "$pid" || return 1
		start_entry "$name"
		until is_back "$name"; do
			kill -0 "$world" 2>/dev/null || return 1
			sleep 0.1
		done
		echo "restarted $name"
	done
	kill -TERM "$world"
}

# shellcheck disable=SC2086
start_store $names
for name in $names; do
	start_entry "$name"
done
chervilmast publish --settings "$dir/sapporo-1.json" examples/kitami-note.json || exit 1
sleep 1.5
standin world examples/kitami-note.json "$dir/instances" 127.0.0.1 \
	"$fabric_port" "$callers" "$seconds" "$seed" >"$dir/totals" &
world=$!
cat >"$dir/drain.json" <<END
{ "backend_servers": { "change": [ { "name": "ledger-4", "state": "draining" } ] } }
END
sleep 2
if [ -n "${RUN_KILL-1}" ] && [ -z "${RUN_ROLL-}" ]; then
	kill -9 "$(pid_of kushiro-2)"
fi
sleep 2
chervilmast publish --settings "$dir/sapporo-1.json" "$dir/drain.json" || exit 1
rolled=0
if [ -n "${RUN_ROLL-}" ]; then
	roll || rolled=1
fi
wait "$world"
result=$?
[ "$rolled" -eq 0 ] || echo 'not all instances were restarted under load'
# Saves the metrics of all instances, to find the cause of a failure.
if [ "$result" -ne 0 ]; then
	for name in $names; do
		curl -s --noproxy '*' -m 2 "http://$(address "$name"):9100/metrics" \
			>"$dir/$name.metrics"
	done
fi
stop_all
trap - EXIT
tail -n 1 "$dir/totals"
exit $((result || rolled))
