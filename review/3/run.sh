#!/usr/bin/env bash
# Plays the case of this folder, see claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Build first: review/build.sh.
folder=$(dirname "$0")
exec bash "$folder/../play.sh" watches "$folder"
