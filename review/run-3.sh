# Runs the case of the calling script: run_case FOLDER CLASS. Exits with 2 if the builds are missing or the program fails.
run_case() {
  local folder="review/$1"
  cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
  if [[ ! -f target/lovageladder.jar || ! -f "target/review-3/$2.class" ]]; then
    echo "run deploy/build and review/build-3.sh first" >&2
    exit 2
  fi
  temporary=$(mktemp -d) || exit 2
  trap 'rm -rf "$temporary"' EXIT
  rm -f "$folder/record.txt"
  java -Xmx256m "-Djava.io.tmpdir=$temporary" -cp target/review-3 "-Dcase.folder=$folder" "$2" &
  program=$!
  trap 'kill "$program"' INT TERM
  local status=0
  wait "$program" || status=$?
  wait "$program" 2>/dev/null || status=$?
  # A Java program that fails ends with 1 as well; only one that judged the rule says so at the end of its record.
  if ((status > 1)) || ! tail -n 1 "$folder/record.txt" 2>/dev/null | grep -q " exit $status\$"; then exit 2; fi
  exit "$status"
}
