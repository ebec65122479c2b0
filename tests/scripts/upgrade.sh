#!/bin/sh
# upgrade.sh BUILD: runs instances of the present build beside those of the build
# in production, which deploy/system.toml names by its commit. Guards against a
# commit that is not in the history or does not build, and against messages,
# entries and tokens that one of the builds does not read.
set -eu
build=$1
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/system.toml)
if [ -z "$commit" ]; then
	echo "deploy/system.toml names no commit in production"
	exit 1
fi
if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
	if [ "$(git rev-parse --is-shallow-repository)" = true ]; then
		echo "upgrade: not run, as the clone is shallow and lacks $commit"
		exit 0
	fi
	echo "commit $commit in production is not in the history"
	exit 1
fi
if ! git merge-base --is-ancestor "$commit" HEAD; then
	echo "commit $commit in production is not an ancestor"
	exit 1
fi

previous=$(mktemp -d)
trap 'rm -rf "$previous"' EXIT
git archive "$commit" | tar -x -C "$previous"
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$previous/deploy/system.toml")
(cd "$previous" && MAKEFLAGS= sh -c "$command") >"$build/upgrade.log" 2>&1 || {
	tail -n 5 "$build/upgrade.log"
	exit 1
}

failed=0
net=60
for run in "1 plain" "11 8" "101 8"; do
	set -- $run
	dir=$build/process.files/upgrade-$1-$2
	rm -rf "$dir"
	mkdir -p "$dir"
	net=$((net + 1))
	if timeout 180 "$build/process" "$1" "$2" "$build/chervilmast" "$dir" \
		"$net" "$previous/target/chervilmast" >"$dir/out" 2>&1; then
		tail -n 1 "$dir/out"
		rm -rf "$dir"
	else
		grep -h violation "$dir/out" || tail -n 3 "$dir/out"
		echo "FAILED: seed $1, files in $dir"
		failed=$((failed + 1))
	fi
done
echo "$((3 - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
