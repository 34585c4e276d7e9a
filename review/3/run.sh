#!/bin/sh
# Plays the case drain-upgrade: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build the node with the deploy file's build command before, and the stand-ins with review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/bin/whinrudder" ] || { echo "bin/whinrudder is not built" >&2; exit 2; }
[ -x "$root/bin/review-standin" ] || sh "$root/review/build.sh" || exit 2
exec "$root/bin/review-standin" drain-upgrade "$root" "$here/record.txt"
