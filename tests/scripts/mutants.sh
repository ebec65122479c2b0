#!/bin/sh
# mutants.sh BUILD SEED...: mutation tests. Switches off each mechanism of
# src/core/test_switch.h in turn, runs the tests until the first failure and
# prints one line per mechanism. Fails when the tests pass with a mechanism
# switched off, or fail with all mechanisms on. The fastest suites run first.
set -u
build=$1
shift
survived=0
suites=$build/mutants.suites
# Tests that KNOWN-RED.txt lists fail with all mechanisms on and show nothing.
known=$(sed -n 's/^unit SUITE=[a-z_]* \([a-z0-9_]*\):.*/:\1:/p' KNOWN-RED.txt)

checks_of() {
	sed -n 's/.*Checks: \([0-9]*\),.*/\1/p' | tail -n 1
}

# Writes the suites with their number of checks, ordered by run time.
order_suites() {
	sed -n 's/^UNIT_CASE("\([^"]*\)".*/\1/p' tests/unit/*.c | sort -u |
		while read -r suite; do
			start=$(date +%s%N)
			checks=$(CK_RUN_SUITE=$suite "$build/unit" 2>&1 |
				checks_of)
			echo "$(($(date +%s%N) - start)) $checks $suite"
		done | sort -n >"$suites"
}

# Prints the first failure, or nothing when all tests pass.
first_failure() {
	while read -r _ _ suite; do
		seen=$(CK_RUN_SUITE=$suite "$build/unit" 2>&1 </dev/null |
			grep -E '^[^:]+:[0-9]+:[EF]:' |
			grep -vF "${known:-:none:}" | head -n 1)
		if [ -n "$seen" ]; then
			echo "unit $seen" | cut -c1-160
			return
		fi
	done <"$suites"
	for seed in "$@"; do
		seen=$("$build/soak" "$seed" 1 2>&1 |
			grep -E 'violation=|invariant_broken' | head -n 1)
		if [ -n "$seen" ]; then
			echo "soak SEED=$seed $seen"
			return
		fi
	done
}

order_suites
seen=$(first_failure "$@")
if [ -n "$seen" ]; then
	echo "tests fail with all mechanisms on: $seen"
	exit 1
fi
all=$("$build/unit" 2>&1 | checks_of)
listed=$(awk '{ sum += $2 } END { print sum }' "$suites")
if [ "$all" != "$listed" ]; then
	echo "a run of all suites has $all checks, but the listed suites have $listed"
	exit 1
fi
for name in $(sed -n 's/.*X([A-Z_]*, "\([a-z-]*\)").*/\1/p' \
	src/core/test_switch.h); do
	seen=$(CHERVILMAST_SWITCH_OFF=$name first_failure "$@")
	if [ -n "$seen" ]; then
		echo "$name: caught: $seen"
	else
		echo "$name: SURVIVED"
		survived=$((survived + 1))
	fi
done
echo "$survived survived"
[ "$survived" -eq 0 ]
