#!/bin/sh
# Plays the case, or with TROUBLE=0 the same without the disruption. Exit codes: 1 if the
# rule was broken, 0 if it held, 2 if the case could not be played.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-harness ] || exit 2
TROUBLE="${TROUBLE:-1}" # the stand-ins read it, too
export TROUBLE
if [ "$TROUBLE" = 0 ]; then
	echo "TROUBLE=0: the disruption is left out"
fi
exec ../../target/review-harness resumable-lookup
