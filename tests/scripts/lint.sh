#!/bin/sh
# Runs the linter on all files in parallel; fails when a file has a finding.
export LINT_FLAGS="$1"
shift
printf '%s\n' "$@" | xargs -P "$(nproc)" -I FILE sh -c '
	clang-tidy --quiet --config-file=.clang-tidy FILE -- $LINT_FLAGS 2>/dev/null'
