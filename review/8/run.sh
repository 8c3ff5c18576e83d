#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-2.sh; see claim.txt.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not be played.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp 'target/review-2:target/platform/masticpond.jar:target/platform/lib/*' \
    io.masticpond.platform.day.RouteName "$PWD/review/8/record.txt"
