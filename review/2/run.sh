#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: the same without the disruption.
exec "$(dirname "$0")/../common/run-case" CommandsAhead 2
