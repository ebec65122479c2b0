#!/bin/sh
# compare-bench.sh run SITE DAY --seed N --report FILE ...: fake bench for
# compare.sh. The report depends on the seed and on the variant, whose name is
# that of the current directory. Appends a line per run to the file runs. With
# seed 9 it fails and writes no report.
[ "$1" = build ] && exit 0
day=$3
while [ "$1" != --seed ]; do
	shift
done
seed=$2
while [ "$1" != --report ]; do
	shift
done
echo "$day $seed" >>runs
[ "$seed" = 9 ] && exit 1
[ "$(basename "$PWD")" = better ] && gain=$seed || gain=0
printf '{"G": 0.9%s, "breaks": {}, "fault": null, ' "$seed" >"$2"
printf '"all": {"in_aim": %s, "late": 10, "refused": 0, "failed": %s}, ' \
	$((100 + gain)) $((5 - gain)) >>"$2"
printf '"ends": {"200": 90, "deadline": %s}, ' $((4 - gain)) >>"$2"
printf '"classes": [{"worth": 0.9}, {"worth": 0.8%s}], ' "$gain" >>"$2"
printf '"zones": [{"worth": 1.0}, {"worth": 0.7}]}' >>"$2"
