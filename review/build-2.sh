#!/usr/bin/env bash
# Compiles the stand-ins of the project and those of review/src-2 into target/review-2, without the
# network. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find platform/src/test/java/io/masticpond/platform/day -name '*.java' ! -name '*Test.java' -print0 |
    xargs -0 javac -d target/review-2 -cp 'target/platform/masticpond.jar:target/platform/lib/*' \
        $(find review/src-2 -name '*.java')
