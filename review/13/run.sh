#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/harness-3 ] && [ -x target/radishloomd ] || exit 2
exec target/harness-3 route-added review/13/record.txt
