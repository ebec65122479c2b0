# Runs `chervilmast publish` and `chervilmast status` with a store and three
# instances. Checks their output and exit codes for accepted, refused and
# conflicting notes, a lost answer of the store, a store that is down, and an
# instance that does not answer or that starts while the store is down.
. tests/scripts/fleet.sh
first_note
change_note one.json 4
change_note two.json 5
publish() {
	run chervilmast publish --settings "$dir/a-1.json" "$@"
}

start_store a-1 a-2 b-1
start_entry a-1
start_entry a-2
start_entry b-1
publish --wait "$dir/first.json"
run chervilmast status --settings "$dir/a-1.json"

echo "# an unknown backend server"
echo '{ "backend_servers": { "withdraw": [ { "name": "ledger-9" } ] } }' >"$dir/bad.json"
publish "$dir/bad.json"

echo "# the answer to the write is lost"
switch '{"lose_answers": 1}'
publish --wait "$dir/one.json"

echo "# two operators at once on a slow store"
switch '{"slow_ms": 700}'
for name in one two; do
	(
		chervilmast publish --settings "$dir/a-1.json" "$dir/$name.json" >"$dir/race-$name" 2>&1
		echo "exit $?" >>"$dir/race-$name"
	) &
	eval "race_$name=$!"
done
wait "$race_one" "$race_two"
cat "$dir/race-one" "$dir/race-two" | sed "s,$dir/[a-z]*.json,NOTE," | mask | sort
switch '{"slow_ms": 0}'

echo "# the store is down"
switch '{"down": true}'
publish "$dir/two.json"
run chervilmast status --settings "$dir/a-2.json"
switch '{"down": false}'

echo "# an instance that does not answer"
kill -STOP "$pid_b_1"
publish --wait --timeout-s 1 "$dir/two.json"
run chervilmast status --settings "$dir/a-1.json" --json
kill -CONT "$pid_b_1"
publish --wait --timeout-s 20 "$dir/one.json"
publish --timeout-s 0 "$dir/one.json"

echo "# an instance starts while the store is down"
switch '{"down": true}'
kill -9 "$pid_a_2"
wait "$pid_a_2" 2>/dev/null
rm "$dir/a-2.log"
start_entry a-2
for _ in $(seq 1 60); do
	grep -q "in_force version=5 .* from=peer" "$dir/a-2.log" && break
	sleep 0.5
done
grep -o "in_force version=5\|from=.*" "$dir/a-2.log" | sort -u
