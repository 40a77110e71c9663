#!/usr/bin/env bash
# Runs the Tallinn deployment on loopback: stand-ins, nine routers in three
# zones, a load, one router and one prefill engine killed in the middle.
# Exits 0 only if every answer was whole and single.
set -euo pipefail
cd "$(dirname "$0")/.."

out=out/demo
rm -rf "$out"
mkdir -p "$out"
pids=()

# stop_all ends all processes; those that do not end in time are killed.
stop_all() {
	local i pid
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for ((i = 0; i < 30; i++)); do
		if ! kill -0 "${pids[@]}" 2>/dev/null; then return; fi
		sleep 0.1
	done
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

# start NAME COMMAND... runs a process in the background and sets started to its
# process ID.
start() {
	local name=$1
	shift
	"$@" >"$out/$name.out" 2>"$out/$name.log" &
	started=$!
	pids+=("$started")
}

# wait_for SECONDS COMMAND... repeats a command until it succeeds.
wait_for() {
	local i tries=$(($1 * 10))
	shift
	for ((i = 0; i < tries; i++)); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	echo "demo: gave up waiting for: $*" >&2
	return 1
}

standin=standin/examples/tallinn.ini
victim_engine=tallinn-a-prefill-1
victim_router=tallinn-b-2
only=()
while read -r name; do
	if [ "$name" != "$victim_engine" ]; then only+=(--only "$name"); fi
done < <(sed -nE 's/^\[(engine|service) (.*)\]$/\2/p' "$standin")
start standins bin/ragwort-standin --settings "$standin" --only platform --only control "${only[@]}"
start victim-engine bin/ragwort-standin --settings "$standin" --only "$victim_engine" --control 127.0.0.1:19102
engine_pid=$started
wait_for 10 grep -q ready "$out/standins.out"
wait_for 10 grep -q ready "$out/victim-engine.out"

bin/ragwortctl --platform http://127.0.0.1:19100 table apply examples/tallinn.csv

n=0
router_flags=()
status_flags=()
for zone in a b c; do
	for host in 1 2 3; do
		n=$((n + 1))
		name=tallinn-$zone-$host
		cat >"$out/$name.ini" <<EOF
[host]
name = $name
zone = tallinn-$zone
zones = tallinn-a, tallinn-b, tallinn-c

[caller]
address = 127.0.0.1:1950$n

[peer]
address = 127.0.0.1:1940$n

[operator]
address = 127.0.0.1:1960$n

[platform]
url = http://127.0.0.1:19100
EOF
		start "$name" bin/ragwortshunt run --settings "$out/$name.ini"
		if [ "$name" = "$victim_router" ]; then router_pid=$started; fi
		router_flags+=(--router "http://127.0.0.1:1950$n")
		status_flags+=(--router "http://127.0.0.1:1960$n")
	done
done
for ((i = 1; i <= n; i++)); do
	wait_for 15 curl -fs --max-time 1 "http://127.0.0.1:1960$i/readyz"
done
echo "demo: nine routers are ready"

bin/ragwort-load run "${router_flags[@]}" --workload load/examples/tallinn-demo.ini \
	--duration 15s --seed 1 --json "$out/load.json" >"$out/load.txt" &
load=$!
sleep 6
echo "demo: killing router $victim_router and engine $victim_engine"
kill -9 "$router_pid" "$engine_pid"
verdict=0
wait "$load" || verdict=$?
cat "$out/load.txt"
bin/ragwortctl "${status_flags[@]}" status || true
if [ "$verdict" -ne 0 ]; then
	echo "demo: FAILED, an answer was not whole and single (see $out)"
	exit 1
fi
echo "demo: every answer was whole and single"
