#!/bin/sh
# Plays this case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs `build` of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
test -x "$here/../standins/target/release/review-standins" || { echo "run review/build.sh first" >&2; exit 2; }
# Not by exec: the program ends what it started when this script ends before it.
"$here/../standins/target/release/review-standins" second-answer "$here"
exit $?
