# Functions for scripts that run a store and several instances on loopback.
# Expects the build directory in $1. Concurrent runs need different values of
# RUN_NET, from which addresses and ports are derived. Optional variables: dir,
# threads, drain_timeout_s, and no_peers, which leaves the list of peers empty.
build=$1
net=${RUN_NET:-1}
dir=${dir:-$build/cases/$(basename "$0" .sh)}
store_port=$((24000 + 100 * net))
fabric_port=$((24001 + 100 * net))
pids=
rm -rf "$dir"
mkdir -p "$dir"

stop_all() {
	for pid in $pids; do
		kill -CONT "$pid" 2>/dev/null
		kill "$pid" 2>/dev/null
	done
	wait
}
trap stop_all EXIT

# Masks what differs between runs: addresses, publication ids, and the home
# instance, which depends on addresses.
mask() {
	sed -e "s/127\.$net\./127.N./g" -e 's/publication_id=[0-9a-f]*/publication_id=ID/' \
		-e 's/\(active  *\)a-[12]/\1a-H/' -e 's/"home": "a-[12]"/"home": "a-H"/'
}

run() {
	echo "\$ $*" | sed "s,$dir/,,g"
	"$@" >"$dir/out" 2>&1
	code=$?
	sed "s,$dir/,,g" "$dir/out" | mask
	echo "exit $code"
}

switch() { # JSON; sets faults of the store stand-in
	standin switch "$store_port" "$1" >/dev/null
}

address() { # name, as in a-1
	case $1 in
	a-* | sapporo-*) echo "127.$net.101.${1#*-}" ;;
	b-* | asahikawa-*) echo "127.$net.102.${1#*-}" ;;
	*) echo "127.$net.103.${1#*-}" ;;
	esac
}

peers() { # name
	[ -n "${no_peers-}" ] || echo "{ \"address\": \"$(address "$1")\", \"port\": 7081 }"
}

settings() { # name peer
	cat >"$dir/$1.json" <<END
{
	"name": "$1", "failure_domain": "${1%-*}",
	"data": { "address": "$(address "$1")", "port": 6081 },
	"fabric": { "address": "127.0.0.1", "port": $fabric_port },
	"control": { "address": "$(address "$1")", "port": 7081 },
	"admin": { "address": "$(address "$1")", "port": 9100 },
	"peers": [ $(peers "$2") ],
	"store": { "url": "http://127.0.0.1:$store_port", "prefix": "chervilmast/",
		   "timeout_ms": 5000 },
	"threads": ${threads:-1},
	"drain_timeout_s": ${drain_timeout_s:-0}
}
END
}

start_store() { # names of all instances, at least two
	separator=
	printf '{' >"$dir/instances"
	for name in "$@"; do
		peer=$1
		[ "$name" = "$1" ] && peer=$2
		settings "$name" "$peer"
		printf '%s"chervilmast/instances/%s": {"name": "%s", "failure_domain": "%s", "address": "%s", "data_port": 6081, "control_port": 7081, "state": "live"}\n' \
			"$separator" "$name" "$name" "${name%-*}" "$(address "$name")" >>"$dir/instances"
		separator=,
	done
	printf '}\n' >>"$dir/instances"
	standin store "$store_port" "$dir/instances" 2>"$dir/store" &
	pids="$pids $!"
	sleep 0.3
}

start_entry() { # name
	chervilmast entry --settings "$dir/$1.json" >>"$dir/$1.log" 2>&1 &
	pids="$pids $!"
	eval "pid_$(echo "$1" | tr - _)=$!"
}

first_note() {
	cat >"$dir/first.json" <<END
{
	"failure_domains": { "add": [ { "name": "a", "state": "in" }, { "name": "b", "state": "in" } ] },
	"services": { "add": [ { "name": "ledger", "address": "203.0.113.10", "port": 443,
		"protocol": "tcp", "idle_timeout_s": 900 } ] },
	"backend_servers": { "add": [
		{ "name": "ledger-1", "service": "ledger", "failure_domain": "a",
		  "address": "192.0.2.10", "port": 8443, "protocol": "tcp", "slots": 3,
		  "max_connections": 2000, "max_new_per_s": 400, "cold_start_s": 5, "state": "active" },
		{ "name": "ledger-2", "service": "ledger", "failure_domain": "b",
		  "address": "192.0.2.11", "port": 8443, "protocol": "tcp", "slots": 3,
		  "max_connections": 2000, "max_new_per_s": 400, "cold_start_s": 5, "state": "active" } ] }
}
END
}

change_note() { # file slots
	cat >"$dir/$1" <<END
{ "backend_servers": { "change": [ { "name": "ledger-1", "slots": $2 } ] } }
END
}
