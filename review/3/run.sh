#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. REVIEW_KEEP=FOLDER keeps logs and journals.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run_case.sh" "$here/case.py"
