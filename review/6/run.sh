#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../java-2/run-case" LateRepeatCase 6
