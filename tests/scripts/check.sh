#!/bin/sh
# Runs each script in tests/scripts/cases and compares its output with the
# .expected file of the same name.
set -u
build=$1
passed=0
failed=0
mkdir -p "$build/cases"
for script in tests/scripts/cases/*.sh; do
	name=$(basename "$script" .sh)
	output=$build/cases/$name.output
	PATH=$build:$PATH sh "$script" "$build" >"$output" 2>&1
	if diff -u "tests/scripts/cases/$name.expected" "$output"; then
		passed=$((passed + 1))
	else
		echo "FAILED: $script"
		failed=$((failed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
