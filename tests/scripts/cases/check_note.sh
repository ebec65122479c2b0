# Checks which release notes `chervilmast check note` rejects, and the error that
# it reports. Most are a valid note with one change.
kind=note
. tests/scripts/try.sh
good='{
"failure_domains": { "add": [ { "name": "a", "state": "in" } ] },
"services": { "add": [
{ "name": "s", "address": "203.0.113.1", "port": 80, "protocol": "tcp", "idle_timeout_s": 60 },
{ "name": "t", "address": "203.0.113.2", "port": 80, "protocol": "udp", "idle_timeout_s": 60 }
] },
"backend_servers": { "add": [
{ "name": "s1", "service": "s", "failure_domain": "a", "address": "192.0.2.1", "port": 80, "protocol": "tcp", "slots": 1, "max_connections": 10, "max_new_per_s": 10, "cold_start_s": 1, "state": "active" },
{ "name": "t1", "service": "t", "failure_domain": "a", "address": "192.0.2.2", "port": 80, "protocol": "udp", "slots": 1, "max_connections": 10, "max_new_per_s": 10, "cold_start_s": 1, "state": "active" }
] }
}'

try 'valid note' ''
try 'syntax error' 's/"state": "in"/"state": in/'
try 'duplicate key' 's/"services"/"failure_domains"/'
try 'unknown key' 's/"services"/"service"/'
try 'unknown kind of change' '/"services"/s/"add"/"adds"/'
try 'unknown key of a domain' 's/"state": "in"/"states": "in"/'
try 'unknown key of a service' 's/"idle_timeout_s"/"idle_timeout_ms"/'
try 'unknown key of a server' '/"t1"/s/"slots"/"weight"/'
try 'missing state of a domain' 's/, "state": "in"//'
try 'missing address of a service' '/"t", "a/s/"address": "203.0.113.2", //'
try 'missing name of a server' 's/"name": "t1", //'
try 'services is an array' 's/"services": {.*/"services": [/; s/^\] },$/],/'
try 'add is an object' 's/"add": \[ { "name": "a", "state": "in" } \]/"add": {}/'
try 'a server is a string' 's/^{ "name": "t1".*/"t1"/'
try 'port is a string' '/"t1"/s/80/"80"/'
try 'port 0' '/"t1"/s/80/0/'
try 'slots 0' '/"t1"/s/"slots": 1/"slots": 0/'
try 'slots 1025' '/"t1"/s/"slots": 1/"slots": 1025/'
try 'max_connections 0' '/"t1"/s/"max_connections": 10/"max_connections": 0/'
try 'max_new_per_s 100001' '/"t1"/s/"max_new_per_s": 10/"max_new_per_s": 100001/'
try 'cold_start_s 3601' '/"t1"/s/"cold_start_s": 1/"cold_start_s": 3601/'
try 'idle_timeout_s 0' 's/"idle_timeout_s": 60/"idle_timeout_s": 0/'
try 'unknown state of a domain' 's/"state": "in"/"state": "up"/'
try 'unknown state of a server' '/"t1"/s/"active"/"withdrawn"/'
try 'unknown protocol' '/"t1"/s/"udp"/"sctp"/'
try 'invalid address' '/"t1"/s/192.0.2.2/192.0.2.256/'
try 'invalid name' 's/"t1"/"t\/1"/'
try 'unknown failure domain' '/"t1"/s/"failure_domain": "a"/"failure_domain": "b"/'
try 'unknown service' '/"t1"/s/"service": "t"/"service": "u"/'
try 'protocol differs from the service' '/"t1"/s/"udp"/"tcp"/'
try 'one backend address for two services' '/"t", "a/s/udp/tcp/; /"t1"/{s/udp/tcp/; s/192.0.2.2/192.0.2.1/}'
try 'one backend address twice in a service' '/"t1"/{s/udp/tcp/; s/192.0.2.2/192.0.2.1/; s/"service": "t"/"service": "s"/}'
try 'backend address equal to a service address' '/"t1"/s/192.0.2.2/203.0.113.2/'
try 'equal service addresses' '/"t", "a/{s/udp/tcp/; s/203.0.113.2/203.0.113.1/}'
try 'a domain twice' 's/\({ "name": "a", "state": "in" }\)/\1, \1/'
try 'a service twice' 's/"name": "t", "a/"name": "s", "a/'
try 'a server twice' 's/"t1"/"s1"/'
long=hokkaido-monthly-petty-cash-reimbursement
try 'names of 41 characters that begin alike' "s/\"\([st]\)\"/\"$long\1\"/g; s/\"\([st]1\)\"/\"$long-\1\"/g"
try 'unknown service of 41 characters' "s/\"name\": \"\([st]\)\"/\"name\": \"$long\1\"/; s/\"service\": \"\([st]\)\"/\"service\": \"$long-\1\"/"
try 'a server of 42 characters twice' "s/\"[st]1\"/\"$long\"/"
try 'not UTF-8' "s/t1/t$(printf '\377')/"
text 'empty note' '{}'
text 'empty lists' '{ "services": { "add": [] } }'
text 'a change without a value' '{ "services": { "change": [ { "name": "s" } ] } }'
text 'change and withdraw one server' '{ "backend_servers": { "change": [ { "name": "s1", "slots": 2 } ], "withdraw": [ { "name": "s1" } ] } }'
text 'withdraw twice' '{ "services": { "withdraw": [ { "name": "t" }, { "name": "s" }, { "name": "t" } ] } }'
text 'withdraw with a value' '{ "services": { "withdraw": [ { "name": "t", "port": 80 } ] } }'
text 'valid change' '{ "backend_servers": { "change": [ { "name": "s1", "state": "draining" } ] } }'
text 'empty file' ''
text 'an array' '[]'
text 'null' 'null'
echo '# a directory'
mkdir directory
check directory
