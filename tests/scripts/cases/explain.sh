# chervilmast explain: an instance with a route and servers in various states,
# and each error. The instance's servers don't exist, so that none answers.
dir=$1/cases/explain
mkdir -p "$dir"
cd "$dir" || exit 1
PATH=$(cd - >/dev/null && pwd)/$1:$PATH

cat >settings.json <<END
{
	"name": "a-1",
	"failure_domain": "a",
	"packets": "127.0.0.6:18172",
	"ready": "127.0.0.6:18167",
	"metrics": "127.0.0.6:19100",
	"control": "127.0.0.6:18166",
	"seeds": ["127.0.0.6:18166"],
	"store_url": "http://127.0.0.1:18188",
	"server_leave_ms": 3000,
	"domain_out_ms": 5000,
	"plan_ms": 3000,
	"flow_life_s": 60,
	"stop_timeout_s": 1
}
END
server() { # id domain state cold-left-ms
	echo "\"servers/i-$1\": {\"service\": \"ledger\", \"address\": \"127.0.0.7:$1\","
	echo "\"zone\": \"$2\", \"version\": \"v1\", \"slots\": 2, \"state\": \"$3\","
	echo "\"cold-left-ms\": $4, \"sequence\": 1},"
}
{
	echo '{'
	server 1001 a ready 0
	server 1002 a draining 0
	server 1003 b ready 0
	server 1004 b ready 600000
	server 1005 c ready 0
	echo '"op/evacuate/c": {},'
	echo '"op/config": {"version": 3, "routes": ['
	echo '{"name": "r", "host": "198.18.0.1", "prefix": "/443/", "service": "ledger"},'
	echo '{"name": "s", "host": "198.18.0.2", "prefix": "/443/", "service": "other"}],'
	echo '"services": [{"name": "ledger", "cold-per-s": 0.0}], "limits": {}}'
	echo '}'
} >keys.json

run() {
	echo "\$ chervilmast explain $*"
	chervilmast explain "$@" 2>&1 | sed 's/age_ms=[0-9]*/age_ms=N/g'
	chervilmast explain "$@" >/dev/null 2>&1
	echo "exit $?"
}

# Waits until the metrics of the instance have a line.
wait_for() { # line
	for _ in $(seq 600); do
		curl -s http://127.0.0.6:19100/metrics | grep -q "$1" && return
		sleep 0.05
	done
	echo "timed out: no line $1 in the metrics"
}

# Prints the metrics that packets and choices change. Probes go on meanwhile.
choices() {
	curl -s http://127.0.0.6:19100/metrics |
		grep -E '^chervilmast_(steer_[a-z_]*|packets_from_fabric)_total ' |
		grep -v steer_probes
}

echo '# the instance does not run'
run --settings settings.json --route 198.18.0.1:443

chervilmast steer --settings settings.json >log 2>&1 &
pid=$!
wait_for '^chervilmast_store_retries_total [1-9]'
echo '# no plan, as the store does not answer'
run --settings settings.json --route 198.18.0.1:443

standin platform 18188 keys.json &
store=$!
wait_for '^chervilmast_plan_version 3'
wait_for '^chervilmast_servers_draining 1'
choices >before
echo '# servers in various states'
run --settings settings.json --route 198.18.0.1:443
echo '# a first SYN was not answered'
run --settings settings.json --route 198.18.0.1:443 --avoid 82328D09
echo '# a service without servers'
run --settings settings.json --route 198.18.0.2:443
choices >after
cmp before after && echo '# no counter of steering has changed'

echo '# errors'
run --settings settings.json --route 198.18.0.3:443
run --settings settings.json --route 198.18.0.1:443 --avoid 12345678
run --settings settings.json --route 198.18.0.1
run --settings settings.json --route 198.18.0.1:443 --avoid 123456789
run --settings settings.json --route 198.18.0.1:443 --avoid 0
run --settings settings.json
run --settings none.json --route 198.18.0.1:443
for query in '' '?route=198.18.0.1' '?route=198.18.0.1:443&x=1'; do
	curl -s -w '%{http_code}\n' "http://127.0.0.6:19100/explain$query"
done

# Waits until all threads of the instance are stopped: one that runs on another
# processor may still answer after the signal was sent.
wait_until_stopped() {
	for _ in $(seq 600); do
		grep -h '^State:' /proc/"$pid"/task/*/status |
			grep -qv '(stopped)' || return
		sleep 0.05
	done
	echo "timed out: the instance is not stopped"
}

echo '# the instance is paused'
kill -STOP $pid
wait_until_stopped
run --settings settings.json --route 198.18.0.1:443
kill -CONT $pid

kill -TERM $pid $store
wait $pid $store
