# Checks which settings `chervilmast steer` rejects, and the error that it
# reports.
dir=$1/cases/steer_settings
mkdir -p "$dir"
cd "$dir" || exit 1
PATH=$(cd - >/dev/null && pwd)/$1:$PATH

cat >good.json <<'END'
{
	"name": "a-1",
	"failure_domain": "a",
	"packets": "127.0.0.1:18172",
	"ready": "127.0.0.1:18167",
	"metrics": "127.0.0.1:19100",
	"control": "127.0.0.1:18166",
	"seeds": ["127.0.0.2:18166"],
	"store_url": "http://127.0.0.1:1",
	"server_leave_ms": 3000,
	"domain_out_ms": 5000,
	"plan_ms": 3000,
	"flow_life_s": 60,
	"stop_timeout_s": 6
}
END

try() { # title sed-expression
	echo "# $1"
	sed "$2" good.json >settings.json
	chervilmast steer --settings settings.json >out 2>&1
	code=$?
	cat out
	echo "exit $code"
}

try 'missing name' '/"name"/d'
try 'name is a number' 's/"a-1"/7/'
try 'invalid address' 's/"127.0.0.1:18172"/"here"/'
try 'port out of range' 's/18167/70000/'
try 'address is an object' 's/"127.0.0.1:19100"/{}/'
try 'seeds is a string' 's/\["127.0.0.2:18166"\]/"x"/'
try 'invalid address of a seed' 's/127.0.0.2:18166/x/'
try 'seed is a number' 's/"127.0.0.2:18166"/1/'
try 'plan_ms below minimum' 's/"plan_ms": 3000/"plan_ms": 5/'
# The URL is checked last.
try 'long name, fractions, 17 seeds, and an invalid store URL' 's/"a-1"/"hokkaido-sapporo-edge-of-the-petty-cash-ledger"/; s/: 3000/: 700.5/; s/: 60,/: 100000.5,/; s/: 6$/: 5000.25/; s/"127.0.0.2:18166"/&,&,&,&,&,&,&,&,&,&,&,&,&,&,&,&,&/; s/http:/https:/'
try '17 seeds, the last one invalid' 's/"127.0.0.2:18166"/&,&,&,&,&,&,&,&,&,&,&,&,&,&,&,&,"x"/'
try 'plan_ms beyond 32 bits' 's/"plan_ms": 3000/"plan_ms": 4294967296.5/'
try 'missing domain_out_ms' '/"domain_out_ms"/d'
try 'store URL with unsupported scheme' 's/http:/https:/'
try 'unknown key' 's/"flow_life_s"/"flow_life"/'
try 'unknown log level' 's/"a-1",/"a-1", "log_level": "loud",/'
try 'syntax error' 's/{/[/'
echo '# no such file'
chervilmast steer --settings none.json 2>&1
echo "exit $?"
echo '# empty option argument'
chervilmast steer --settings '' 2>&1
echo "exit $?"
