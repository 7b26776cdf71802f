# Runs the case of the calling script: run_case FOLDER CLASS. Exits with 2 if the builds are missing.
run_case() {
  cd "$(dirname "${BASH_SOURCE[0]}")/.."
  if [[ ! -f target/lovageladder.jar || ! -f "target/review-3/$2.class" ]]; then
    echo "run deploy/build and review/build-3.sh first" >&2
    exit 2
  fi
  exec java -Xmx256m -cp target/review-3 "-Dcase.folder=review/$1" "$2"
}
