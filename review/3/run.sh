#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 110 java -Xmx512m -cp ../classes review.CommandsAhead .
