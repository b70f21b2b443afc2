#!/usr/bin/env python3
"""Measures what logging costs on a day of the users' bench, as a ratio of processor seconds.

    scripts/measure-logging.py FLEETBENCH SITE DAY [SEED...]

Each seed is played twice from a clone of the last commit: with the logs as deployed, and with
`--log-level off`. Prints the processor seconds of all instances and the worth of both, by seed.
"""

import pathlib
import re
import subprocess
import sys
import tempfile

RUN_LINE = 'run = "target/release/anvilhook-entry"'


def main():
    if len(sys.argv) < 4:
        sys.exit(__doc__)
    bench, site = (str(pathlib.Path(path).resolve()) for path in sys.argv[1:3])
    day, seeds = sys.argv[3], sys.argv[4:] or ["11", "22", "33"]
    repository = pathlib.Path(__file__).resolve().parent.parent
    with tempfile.TemporaryDirectory() as place:
        clone = pathlib.Path(place) / "anvilhook"
        subprocess.run(["git", "clone", "-q", str(repository), str(clone)], check=True)
        print(f"{'seed':>6} {'logged s':>9} {'off s':>9} {'ratio':>6} {'worth':>7} {'off':>7}")
        totals = [0.0, 0.0]
        for seed in seeds:
            logged, silent = (play(clone, [bench, "run", site, day, "--seed", seed], level)
                              for level in ("info", "off"))
            totals = [totals[0] + logged[0], totals[1] + silent[0]]
            print(f"{seed:>6} {logged[0]:9.2f} {silent[0]:9.2f} {logged[0] / silent[0]:6.3f} "
                  f"{logged[1]:7.3f} {silent[1]:7.3f}")
        print(f"logging takes {1 - totals[1] / totals[0]:.1%} of the processor seconds")


def play(clone, command, level):
    """Plays the day with one level of logs, and returns processor seconds and worth."""
    deploy = clone / "deploy" / "system.toml"
    text = deploy.read_text()
    if RUN_LINE not in text:
        sys.exit(f"{deploy}: the line {RUN_LINE} is not there")
    deploy.write_text(text.replace(RUN_LINE, f'{RUN_LINE[:-1]} --log-level {level}"'))
    played = subprocess.run(command, cwd=clone, capture_output=True, text=True)
    deploy.write_text(text)
    seconds = re.search(r"([\d.]+) processor seconds", played.stdout)
    worth = re.search(r"^worth ([\d.-]+) =", played.stdout, re.MULTILINE)
    if not (seconds and worth):
        sys.exit(f"{' '.join(command)}: {played.stdout[-500:]}{played.stderr[-500:]}")
    return float(seconds.group(1)), float(worth.group(1))


if __name__ == "__main__":
    main()
