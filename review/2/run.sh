#!/bin/sh
# TROUBLE=0 does the same without the disruption. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
exec "$(dirname "$0")/../standins/run-case.sh" "$(dirname "$0")" EarlyAnswer "${TROUBLE:-1}"
