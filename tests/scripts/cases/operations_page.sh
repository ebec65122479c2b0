# Checks that docs/OPERATIONS.md lists exactly the counters, gauges, histograms
# and log events of the headers, and that examples/README.md explains all keys
# of the example settings.
dir=$1/cases
page=docs/OPERATIONS.md
mkdir -p "$dir"

names() { # header
	tr -d '\\\n' <"$1" | grep -oE 'X\([A-Z_0-9]+,[	 ]*([A-Z]+,[	 ]*)?"[a-z_0-9]+"' |
		sed 's/.*"\(.*\)"/\1/' | sort
}

rows() { # section
	sed -n "/^## $1\$/,/^## /p" "$page" | sed -n 's/^| `\([a-z_0-9]*\)` .*/\1/p' | sort
}

compare() { # section header
	names "$2" >"$dir/names"
	rows "$1" >"$dir/rows"
	[ -s "$dir/names" ] || echo "$1: no names in $2"
	comm -23 "$dir/names" "$dir/rows" | sed "s|^|$1: not in $page: |"
	comm -13 "$dir/names" "$dir/rows" | sed "s|^|$1: not in $2: |"
	uniq -d "$dir/rows" | sed "s|^|$1: twice in $page: |"
	echo "$1 compared"
}

compare Counters include/chervilmast/counter.h
compare Gauges src/daemon/gauge.h
compare 'Gauges of steering' src/daemon/steer_gauge.h
compare Histograms include/chervilmast/histogram.h
compare 'Log events' src/daemon/log_event.h
compare 'Exclusions of a placement' include/chervilmast/steer_explain.h

echo '# every name in the text is a counter, gauge, event, key or command'
{
	names include/chervilmast/counter.h
	names src/daemon/gauge.h
	names src/daemon/steer_gauge.h
	names include/chervilmast/histogram.h
	names src/daemon/log_event.h
	names include/chervilmast/steer_explain.h
	sed -n 's/^| `\([a-z_.]*\)` .*/\1/p' examples/README.md
} | sort -u >"$dir/known"
grep -oE '`[a-z]+_[a-z_]+`' "$page" | tr -d '`' | sort -u >"$dir/used"
comm -13 "$dir/known" "$dir/used"
echo '# every key of the example settings is explained'
grep -ohE '^	"[a-z_]+"' examples/*-settings.json | tr -d '	"' | sort -u |
	while read -r key; do
		grep -q "^| \`$key\` " examples/README.md || echo "$key"
	done
