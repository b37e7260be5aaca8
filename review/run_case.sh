#!/usr/bin/env bash
# Runs the script of a case with the dependencies that the build of deploy/system.toml put into
# target/deps, or with those of the development environment.
root="$(cd "$(dirname "$0")/.." && pwd)"
export REVIEW_DEPENDENCIES="$root/target/deps"
export PYTHONPATH="$REVIEW_DEPENDENCIES:$root/src:$root/review" PYTHONDONTWRITEBYTECODE=1
for python in python3 "$root/.venv/bin/python"; do
    if "$python" -c "import msgspec, tornado, fastavro" 2>/dev/null; then
        timeout --signal=TERM --kill-after=5 112 "$python" "$1"
        code=$?
        case $code in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
    fi
done
echo "the dependencies of deploy/requirements.txt are not there: build first" >&2
exit 2
