#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
DRIVER=owner_lost_under_load
. "$(dirname "$0")/../case.sh"
