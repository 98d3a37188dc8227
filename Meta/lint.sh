#!/usr/bin/env bash
# Checks every source file with clang-format and clang-tidy; needs build/.
# Arguments, if any, are the files to check in place of all.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
  sources=("$@")
else
  mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
    '*.cc' '*.h')
fi
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$' || true)
if ! printf '%s\n' "${units[@]}" |
  xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet >lint.log.tmp 2>&1
then
  grep -E 'error:|warning:|^ ' lint.log.tmp || cat lint.log.tmp
  rm -f lint.log.tmp
  echo "clang-tidy found the above"
  exit 1
fi
rm -f lint.log.tmp
echo "format and lint clean: ${#sources[@]} files"
