#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ragwortshunt ] && [ -x target/review-2/second ] || { echo "can't run: build first" >&2; exit 2; }
exec target/review-2/second queued review/10
