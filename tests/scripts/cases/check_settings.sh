# Checks which settings `chervilmast check settings` rejects, and the error that
# it reports. Most are valid settings with one change.
kind=settings
. tests/scripts/try.sh
good='{
"name": "a-1",
"failure_domain": "a",
"data": { "address": "127.0.0.2", "port": 6081 },
"fabric": { "address": "127.0.0.1", "port": 6081 },
"control": { "address": "127.0.0.2", "port": 7081 },
"admin": { "address": "127.0.0.2", "port": 9100 },
"peers": [ { "address": "127.0.0.3", "port": 7081 } ],
"store": { "url": "http://127.0.0.1:2379", "prefix": "c/" },
"threads": 2
}'

try 'valid settings' ''
try 'syntax error' 's/"threads": 2/"threads" 2/'
try 'duplicate key' 's/"threads"/"name"/'
try 'unknown key' 's/"threads"/"thread"/'
try 'unknown key in an endpoint' '/data/s/"port"/"ports"/'
try 'unknown key in the store' '/store/s/"url"/"uri"/'
try 'unknown key in a peer' '/peers/s/"port"/"name": 1, "port"/'
try 'unknown key with a line break' 's/"threads"/"a\\nb"/'
try 'missing name' '/"name"/d'
try 'missing domain' '/"failure_domain"/d'
try 'missing data' '/"data"/d'
try 'missing fabric' '/"fabric"/d'
try 'missing control' '/"control"/d'
try 'admin omitted' '/"admin"/d'
try 'peers omitted' '/"peers"/d'
try 'missing store' '/"store"/d'
try 'missing prefix' 's/, "prefix": "c."//'
try 'missing port' '/"data"/s/, "port": 6081//'
try 'name is a number' 's/"a-1"/1/'
try 'data is a string' 's/"data": {.*}/"data": "127.0.0.2:6081"/'
try 'peers is an object' 's/"peers": \[.*\]/"peers": {}/'
try 'port is a string' '/"data"/s/6081/"6081"/'
try 'port is a fraction' '/"data"/s/6081/6081.0/'
try 'threads is null' 's/"threads": 2/"threads": null/'
try 'log level is a number' 's/"threads": 2/"log_level": 2/'
try 'port 0' '/"data"/s/6081/0/'
try 'port 65536' '/"control"/s/7081/65536/'
try 'peer port -1' '/"peers"/s/7081/-1/'
try 'threads 0' 's/"threads": 2/"threads": 0/'
try 'threads 65' 's/"threads": 2/"threads": 65/'
try 'threads beyond 64 bits' 's/"threads": 2/"threads": 99999999999999999999/'
try 'half_open_max 1023' 's/"threads": 2/"half_open_max": 1023/'
try 'drain_timeout_s 86401' 's/"threads": 2/"drain_timeout_s": 86401/'
try 'timeout_ms 9' '/"store"/s/"c."/"c\/", "timeout_ms": 9/'
try 'unknown log level' 's/"threads": 2/"log_level": "loud"/'
try 'address with five parts' '/"data"/s/127.0.0.2/127.0.0.2.1/'
try 'address 0.0.0.0' '/"data"/s/127.0.0.2/0.0.0.0/'
try 'IPv6 address' '/"data"/s/127.0.0.2/::1/'
try 'name with a space' 's/"a-1"/"a 1"/'
try 'empty name' 's/"a-1"/""/'
try 'name of 32 bytes' 's/"a-1"/"abcdefghijklmnopqrstuvwxyz012345"/'
try 'name of 32 bytes, one of them a space' 's/"a-1"/"abcdefghijklmnopqrstuvwxyz01234 "/'
try 'control address differs from data address' '/"control"/s/127.0.0.2/127.0.0.4/'
try 'fabric equal to data' '/"fabric"/s/127.0.0.1/127.0.0.2/'
try 'admin equal to control' '/"admin"/s/9100/7081/'
try 'peer equal to control' '/"peers"/s/127.0.0.3/127.0.0.2/'
try 'duplicate peer' '/"peers"/s/\[\(.*\)\]/[\1,\1]/'
try 'store URL without scheme' 's,http://,,'
try 'store URL with unsupported scheme' 's,http:,ftp:,'
try 'store URL without host' 's,127.0.0.1:2379,,'
try 'store URL with query' 's,:2379,:2379/?a=b,'
try 'prefix without final slash' 's,"c/","c",'
try 'empty prefix' 's,"c/","",'
try 'not UTF-8' "s/a-1/a$(printf '\377')/"
try 'NUL in a string' 's/a-1/a\\u0000/'
try 'text after the object' '$s/$/ {}/'

echo '# 65 peers'
peers=$(i=1; while [ $i -le 65 ]; do
	printf '%s{"address":"127.0.1.%d","port":7081}' "${s-}" $i
	s=,
	i=$((i + 1))
done)
printf '%s\n' "$good" | sed -e "s/\"peers\": .*/\"peers\": [$peers],/" >settings.json
check settings.json
echo '# 65 peers, the last one without a port'
sed -i 's/,"port":7081}\],/}],/' settings.json
check settings.json
echo '# prefix of 128 bytes'
long=$(head -c 127 /dev/zero | tr '\0' x)
printf '%s\n' "$good" | sed -e "s,\"c/\",\"$long/\"," >settings.json
check settings.json
echo '# empty file'
: >settings.json
check settings.json
echo '# an array'
echo '[]' >settings.json
check settings.json
echo '# nested 3000 deep'
head -c 3000 /dev/zero | tr '\0' '[' >settings.json
check settings.json
echo '# more than 4 MiB'
head -c 4194305 /dev/zero | tr '\0' ' ' >settings.json
check settings.json
echo '# exactly 4 MiB'
head -c 4194304 /dev/zero | tr '\0' ' ' >settings.json
check settings.json
echo '# a directory'
mkdir directory
check directory
echo '# no such file'
check none.json
