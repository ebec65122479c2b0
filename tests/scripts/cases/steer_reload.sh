# Reload by SIGHUP: checks the log lines for unchanged settings, for a new log
# level, which takes effect at once, for settings whose old value is kept until
# a restart, and for an invalid file.
dir=$1/cases/steer_reload
mkdir -p "$dir"
cd "$dir" || exit 1
PATH=$(cd - >/dev/null && pwd)/$1:$PATH

settings() { # plan_ms seeds more
	cat >settings.json <<END
{
	"name": "a-1",
	"failure_domain": "a",
	"packets": "127.0.0.3:18172",
	"ready": "127.0.0.3:18167",
	"metrics": "127.0.0.3:19100",
	"control": "127.0.0.3:18166",
	"seeds": [$2],
	"store_url": "http://127.0.0.3:1",
	"server_leave_ms": 3000,
	"domain_out_ms": 5000,
	"plan_ms": $1,
	"flow_life_s": 60,
	"stop_timeout_s": 1$3
}
END
}

# Waits until the log has at least the given number of lines of an event.
wait_for() { # event lines
	for _ in $(seq 600); do
		[ "$(grep -c "event=$1" log)" -ge "$2" ] && return
		sleep 0.05
	done
	echo "timed out: fewer than $2 lines of event $1"
}

reload_lines() { # prints the log lines of reloads without their timestamps
	sed -n 's/^time=[^ ]* //; /event=\(reload\|settings_kept\)/p' log
}

settings 3000 '"127.0.0.4:18166"' ''
# The process creates the file only once it is scheduled.
: >log
chervilmast steer --settings settings.json >>log 2>&1 &
pid=$!
wait_for started 1

echo '# nothing changed'
kill -HUP $pid
wait_for reloaded 1
reload_lines

echo '# plan_ms, seeds and log_level changed'
settings 4000 '"127.0.0.5:18166", "127.0.0.4:18166"' ', "log_level": "warning"'
kill -HUP $pid
wait_for settings_kept 1
reload_lines

echo '# plan_ms is a string'
settings '"soon"' '' ''
kill -HUP $pid
wait_for reload_refused 1
reload_lines

kill -TERM $pid
wait $pid
echo "exit $?"
