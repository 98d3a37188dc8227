#!/usr/bin/env bash
# Checks every source file with clang-format, and with clang-tidy the units
# whose state differs from the one recorded in Meta/lint-clean.txt. A unit's
# state covers its own text, all files of the project that it includes,
# .clang-tidy and the version of clang-tidy. Needs build/.
#   Meta/lint.sh           all files
#   Meta/lint.sh --record  all files; records the state if they are clean
#   Meta/lint.sh FILE...   only these files, regardless of the recorded state
set -euo pipefail
cd "$(dirname "$0")/.."
recorded=Meta/lint-clean.txt

# Prints "STATE UNIT" for each unit of the build.
unit_states() {
  local rules unit hashes
  # The version text names the processor in two lines. The processor does not
  # change the checks.
  rules=$( (clang-tidy --version | grep -v -e 'Host CPU' -e 'Default target'
            cat .clang-tidy) |
    sha256sum | cut -c1-64)
  ninja -C build -t deps 2>/dev/null |
    awk -v root="$PWD/" '
      /^ / {
        if (index($1, root) != 1 || index($1, root "build/") == 1) next
        path = substr($1, length(root) + 1)
        if (unit == "") unit = path
        print unit, path
        next
      }
      { unit = "" }' | sort -u >states.log.tmp
  cut -d' ' -f2 states.log.tmp | sort -u | xargs sha256sum >hashes.log.tmp
  awk 'NR == FNR { hash[$2] = $1; next }
       { text[$1] = text[$1] hash[$2] }
       END { for (unit in text) print unit, text[unit] }' \
    hashes.log.tmp states.log.tmp | sort |
    while read -r unit hashes; do
      echo "$(echo "$rules $hashes" | sha256sum | cut -c1-64) $unit"
    done
  rm -f states.log.tmp hashes.log.tmp
}

record=no
if [ "${1:-}" = "--record" ]; then
  record=yes
  shift
fi
if [ $# -gt 0 ]; then
  sources=("$@")
  mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$' || true)
else
  mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
    '*.cc' '*.h')
  unit_states >current.log.tmp
  touch "$recorded"
  mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$' | sort |
    grep -vxFf <(grep -Fxf "$recorded" current.log.tmp | cut -d' ' -f2) || true)
fi
clang-format --dry-run --Werror "${sources[@]}"
if ! printf '%s\n' "${units[@]}" | { grep . || true; } |
  xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet >lint.log.tmp 2>&1
then
  grep -E 'error:|warning:|^ ' lint.log.tmp || cat lint.log.tmp
  rm -f ./*.log.tmp
  echo "clang-tidy found the above"
  exit 1
fi
[ "$record" = no ] || cp current.log.tmp "$recorded"
rm -f ./*.log.tmp
echo "format and lint clean: ${#sources[@]} files, ${#units[@]} units checked anew"
