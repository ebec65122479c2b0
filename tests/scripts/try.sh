# Functions for scripts that test `chervilmast check`. Most checked files are
# the valid text in $good with one change. Expects the build directory in $1 and
# the type of the files, note or settings, in $kind.
bin=$(cd "$1" && pwd)
dir=$bin/cases/check_$kind
rm -rf "$dir"
mkdir -p "$dir"
cd "$dir" || exit 1

check() { # file
	"$bin/chervilmast" check "$kind" "$1" >out 2>err
	code=$?
	cat out err
	echo "exit $code, lines $(cat out err | wc -l)"
}

text() { # title text
	echo "# $1"
	printf '%s\n' "$2" >"$kind.json"
	check "$kind.json"
}

try() { # title sed-expression
	text "$1" "$(printf '%s\n' "$good" | sed -e "$2")"
}
