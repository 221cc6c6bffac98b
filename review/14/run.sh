#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")"
timeout -k 5 110 python3 case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
