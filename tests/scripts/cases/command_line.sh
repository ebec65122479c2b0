# Help, version and invalid command lines: checks standard output, standard
# error and the exit code of each.
out=$1/cases/command_line.out
err=$1/cases/command_line.err
run() {
	echo "\$ chervilmast $*"
	chervilmast "$@" >"$out" 2>"$err"
	code=$?
	sed 's/^/out: /' "$out"
	sed 's/^/err: /' "$err"
	echo "exit $code"
}
settings() { # store-url
	cat >"$1" <<END
{
	"name": "a-1",
	"failure_domain": "a",
	"data": { "address": "127.6.0.2", "port": 6081 },
	"fabric": { "address": "127.6.0.1", "port": 6081 },
	"control": { "address": "127.6.0.2", "port": 7081 },
	"store": { "url": "$2", "prefix": "c/", "timeout_ms": 200 }
}
END
}
mkdir -p "$1/cases" build/cases
settings build/cases/down.json http://127.6.0.9:9
run --version
run --help
run
run bogus
run --bogus
for command in entry check publish status explain; do
	run $command --help
	run $command --version
	run $command --bogus
done
run entry
run entry extra
run check settings
run check other examples/kitami-note.json
run check settings examples/kitami-settings.json extra
run publish --settings examples/kitami-settings.json
run publish examples/kitami-note.json
run status
run check note examples/kitami-note.json
run check settings examples/kitami-settings.json
run check note examples/altamaha-note.json
run check settings examples/altamaha-settings.json
run entry --settings build/none.json
run publish --settings build/none.json examples/kitami-note.json
run publish --settings examples/kitami-settings.json build/none.json
run status --settings build/none.json
echo '# the store does not answer'
run publish --settings build/cases/down.json examples/kitami-note.json
run status --settings build/cases/down.json
echo '# standard output is full'
chervilmast --version >/dev/full
echo "exit $?"
chervilmast check settings examples/kitami-settings.json >/dev/full
echo "exit $?"
