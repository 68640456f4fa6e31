#!/usr/bin/env bash
# Runs a case with its driver: run-case.sh CASE FOLDER. Writes FOLDER/record.txt. Ends all processes that it
# started. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
own=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$own/../.." && pwd)
driver=$own/target/release/review-2
export MILLETLOCK=$root/target/release/milletlock
for program in "$driver" "$MILLETLOCK"; do
    if [ ! -x "$program" ]; then
        echo "could not run: $(basename "$program") is not built"
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
end() {
    # The driver lists the process ids of the controllers that it starts; most have ended already.
    [ -f "$folder/pids" ] && while read -r pid; do
        if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$MILLETLOCK" ]; then kill -9 "$pid" 2>/dev/null; fi
    done <"$folder/pids"
    [ -n "$KEEP" ] && cp "$folder"/*.log "$KEEP" 2>/dev/null
    rm -rf "$folder"
}
trap end EXIT
cd "$folder" || exit 2
timeout -k 2 115 "$driver" "$1" "$2/record.txt" "$folder"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
