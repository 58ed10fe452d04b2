#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/stage restarts review/8
