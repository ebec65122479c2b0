#!/bin/sh
# compare.sh FOLDER: tests platform/trials/compare.py. Compares two variants
# twice with a fake bench and checks the table and the number of bench runs.
set -eu
folder=$1
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$folder"
mkdir -p "$folder/plain" "$folder/better"

compare() {
	python3 "$here/../../platform/trials/compare.py" \
		--bench "$here/compare-bench.sh" \
		--results "$folder/results.tsv" --seeds "$1" --jobs 1 \
		--variant "plain=$folder/plain" \
		--variant "better=$folder/better" \
		sites/one.toml:trouble-1
}

compare 1-3 >"$folder/table"
# The second run reuses stored results and ignores a truncated line.
printf 'better\tsites/one.toml\ttro' >>"$folder/results.tsv"
echo >>"$folder/results.tsv"
compare 1-3 >"$folder/again"
cmp "$folder/table" "$folder/again"
cmp "$folder/table" "$here/compare.expected"
test "$(cat "$folder/plain/runs" "$folder/better/runs" | wc -l)" -eq 6
# A bench run without a report counts as missing and fails the comparison.
if compare 1-3,9 >"$folder/missing" 2>/dev/null; then
	echo "compare.py succeeded although a bench run wrote no report"
	exit 1
fi
grep -q '3 of 4' "$folder/missing"
echo "compare: 5 passed, 0 failed"
