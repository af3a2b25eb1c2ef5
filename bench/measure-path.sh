#!/usr/bin/env bash
# Compares requests sent to a stand-in engine directly, through the baseline relay and through an entry. Prints one line
# of JSON for each measurement; needs a release build, curl and jq. The stand-in prefills 50 million tokens per second,
# so that the time added to a large prompt stays visible. Usage: bench/measure-path.sh [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
standin=$build/tests/standin/magnolia-standin
relay=$build/bench/relay/magnolia-relay-baseline
load=$build/bench/load/magnolia-load
binary=$build/src/app/magnoliastream
engine_address=127.0.0.1:18930
relay_address=127.0.0.1:18931
entry_address=127.0.0.1:18932
operator_address=127.0.0.1:18933
short_prompt_tokens=1000
large_prompt_tokens=1250000
token_interval_ms=70
ticks_per_second=$(getconf CLK_TCK)

work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: starts a process and stores its id in pid_NAME.
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.out" 2>&1 &
    pids+=($!)
    printf -v "pid_$name" '%s' "$!"
}

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
memory_kb() { awk -v key="$2:" '$1 == key { print $2 }' "/proc/$1/status"; }

write_settings() {
    cat >"$work/configuration.json" <<'JSON'
{ "values": {
    "classes": "[{\"name\":\"counter\",\"kind\":\"model\",\"first_token_ms\":60000,\"finish_ms\":600000,\"idempotent\":true},{\"name\":\"archive\",\"kind\":\"model\",\"first_token_ms\":600000,\"finish_ms\":900000,\"idempotent\":true}]",
    "organisations": "[{\"name\":\"organisation-1\"},{\"name\":\"organisation-2\"},{\"name\":\"organisation-3\"},{\"name\":\"organisation-4\"},{\"name\":\"organisation-5\"},{\"name\":\"organisation-6\"},{\"name\":\"organisation-7\"},{\"name\":\"organisation-8\"},{\"name\":\"organisation-9\"},{\"name\":\"organisation-10\"}]",
    "models": "[\"m-large\"]"
} }
JSON
    cat >"$work/instances.json" <<JSON
{ "instances": [
    {"id":"entry-1","role":"entry","state":"live","data_centre":"dc-1","address":"$entry_address","peer_address":"127.0.0.1:18934"},
    {"id":"engine-1","role":"engine","state":"live","data_centre":"dc-1","address":"$engine_address","serves":["m-large"],"memory_tokens":100000000,"checks_fencing":false}
] }
JSON
    cat >"$work/entry.jsonc" <<JSON
{   "instance": "entry-1", "dataCentre": "dc-1",
    "caller": { "address": "$entry_address" }, "operator": { "address": "$operator_address" },
    "peer": { "address": "127.0.0.1:18934", "keys": [{ "id": 1, "secret": "a-secret-of-the-measurements-of-40-chars" }], "sendKey": 1 },
    "platform": { "configuration": ["127.0.0.1:18935"], "instances": ["127.0.0.1:18936"] },
    "log": { "level": "info", "file": "$work/entry.log" }
}
JSON
}

start_all() {
    write_settings
    start configuration "$standin" --role configuration --listen 127.0.0.1:18935 --publish "$work/configuration.json"
    start instances "$standin" --role instances --listen 127.0.0.1:18936 --publish "$work/instances.json"
    start engine "$standin" --role engine --listen "$engine_address" --memory-tokens 100000000 \
        --token-interval-ms "$token_interval_ms" --prefill-tokens-per-s 50000000
    start relay "$relay" --listen "$relay_address" --upstream "$engine_address"
    start entry "$binary" serve --settings "$work/entry.jsonc"
    for _ in $(seq 300); do
        curl -sf "http://$operator_address/readyz" >/dev/null && break
        sleep 0.1
    done
    sleep 1
}

# Measures in paired rounds how much the relay and the entry add to the time to first token of a direct request.
measure_first_token() {
    local label=$1 tokens=$2 rounds=$3
    "$load" --mode paired --count "$rounds" --max-tokens 2 --prompt-tokens "$tokens" --target "direct=$engine_address" \
        --target "relay=$relay_address" --target "entry=$entry_address" >"$work/paired.json"
    jq -c --arg what "$label" '{measure: ("first token, " + $what),
        direct_p50_ms: .targets.direct.first_token_ms.p50,
        relay_added_ms: .targets.relay.added_first_token_ms_median,
        entry_added_ms: .targets.entry.added_first_token_ms_median,
        outcomes: (.targets | map_values(.outcomes))}' "$work/paired.json"
}

# Measures CPU time, memory, and the gaps between tokens at the caller while streams are open through one process.
measure_streams() {
    local name=$1 address=$2 pid=$3 streams=$4 seconds=10
    local memory_before ticks_before ticks_after memory_open begin_ns end_ns
    memory_before=$(memory_kb "$pid" VmRSS)
    "$load" --mode streams --count "$streams" --duration-s "$seconds" --max-tokens 100 \
        --prompt-tokens "$short_prompt_tokens" --target "$name=$address" >"$work/streams.json" &
    local load_pid=$!
    sleep 3
    ticks_before=$(cpu_ticks "$pid")
    begin_ns=$(date +%s%N)
    sleep 4
    ticks_after=$(cpu_ticks "$pid")
    end_ns=$(date +%s%N)
    memory_open=$(memory_kb "$pid" VmRSS)
    wait "$load_pid"
    jq -c --arg name "$name" --argjson streams "$streams" --argjson ticks "$((ticks_after - ticks_before))" \
        --argjson hz "$ticks_per_second" --argjson ns "$((end_ns - begin_ns))" \
        --argjson before "$memory_before" --argjson open "$memory_open" '.targets[$name] as $t |
        {measure: "streams", through: $name, streams: $streams,
         core_share: ($ticks / $hz / ($ns / 1e9) * 1000 | round / 1000),
         tokens_per_s: ($streams * 1000 / '"$token_interval_ms"' | round),
         rss_kb: $open, rss_kb_per_stream: (($open - $before) / $streams * 10 | round / 10),
         gap_ms: $t.gap_ms, first_token_ms: $t.first_token_ms, outcomes: $t.outcomes}' "$work/streams.json"
}

echo "{\"measure\":\"machine\",\"cores\":$(nproc),\"load_average\":$(cut -d' ' -f1 /proc/loadavg)}"
start_all
measure_first_token "short prompt" "$short_prompt_tokens" 100
for streams in 1 100 2000; do
    measure_streams relay "$relay_address" "$pid_relay" "$streams"
    measure_streams entry "$entry_address" "$pid_entry" "$streams"
done
# Restart all processes, so that the peak memory is that of the large prompts only.
stop_all
work=$(mktemp -d)
pids=()
start_all
entry_before=$(memory_kb "$pid_entry" VmHWM)
relay_before=$(memory_kb "$pid_relay" VmHWM)
measure_first_token "5 MB prompt" "$large_prompt_tokens" 20
echo "{\"measure\":\"peak memory of 5 MB prompts\",\"entry_added_kb\":$(($(memory_kb "$pid_entry" VmHWM) - entry_before)),\"relay_added_kb\":$(($(memory_kb "$pid_relay" VmHWM) - relay_before))}"
