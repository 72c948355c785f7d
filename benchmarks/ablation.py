"""What each mechanism of the scheduler is worth: days played with it and without it.

    .venv/bin/python benchmarks/ablation.py --kit PROGRAM --site SITE [--site SITE] [--pairs N]

Plays the same days with the same seeds on scratch copies of this checkout, which differ in nothing
but the `scheduling` section of the settings, and prints a table: the mean difference in worth to
the defaults, and its standard error. The copies lie beside this checkout and stay, with their
entries in the journal.
"""

import argparse
import json
import re
import shutil
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean, stdev

ROOT = Path(__file__).resolve().parent.parent

#: Mechanism and the settings that switch it off. What keeps a promise has no switch.
SWITCHES = {
    "none": {},
    "share of workers for urgent work": {"reserve_share": 0.0},
    "reservations, with preemption": {"max_reserved": 0},
    "preemption": {"preempt_s": None},
    "less urgent work beside a reservation": {"backfills": False},
    "giving up sick runs": {"judges_runs": False},
    "slow workers last": {"avoids_slow": False},
    "copies": {"copies": False},
    "asking ahead": {"asks_ahead": False},
    "limit on long asks": {"long_ask_share": 2.0},
}

#: Days that are played, each with a seed of its own.
DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")
FIRST_SEED = 100


def parse_args():
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--kit", required=True, help="the program that plays days")
    parser.add_argument("--site", action="append", required=True, help="a site file")
    parser.add_argument("--pairs", type=int, default=10, help="days a site and mechanism")
    parser.add_argument("--jobs", type=int, default=4, help="days played at once")
    parser.add_argument("--only", action="append", help="mechanisms; default: all")
    return parser.parse_args()


def make_copy(name, policy):
    """Return a checkout beside this one whose settings have a policy."""
    slug = re.sub(r"[^a-z]+", "-", name)
    copy = ROOT.parent / f"ablation-{slug}"
    if not copy.exists():
        subprocess.run(["git", "clone", "--quiet", ROOT, copy], check=True)
        if (ROOT / "target").exists():
            shutil.copytree(ROOT / "target", copy / "target")
        template = copy / "deploy" / "settings.json.in"
        section = json.dumps(policy).replace("{", "{ ")
        text = template.read_text(encoding="utf-8")
        text = text.replace('  "orders"', f'  "scheduling": {section},\n  "orders"')
        template.write_text(text, encoding="utf-8")
    return copy


def play(kit, copy, site, number, why):
    """Play a day; return its worth, or None when it was not played to its end."""
    day = DAYS[number % len(DAYS)]
    command = [kit, "run", site, day, "--seed", str(FIRST_SEED + number), "--no-cpu", "--why", why]
    run = subprocess.run(command, cwd=copy, capture_output=True, text=True, check=False)
    found = re.search(r"^worth ([\d.]+) = ", run.stdout, re.MULTILINE)
    return float(found[1]) if found else None


def play_all(args, site, name, policy):
    """Return the worth of each day with a policy."""
    copy = make_copy(name, policy)
    why = f"ablation: without {name}"
    with ThreadPoolExecutor(args.jobs) as pool:
        return list(
            pool.map(lambda number: play(args.kit, copy, site, number, why), range(args.pairs))
        )


def show_difference(name, worths, without):
    """Print a row of the table."""
    pairs = zip(worths, without, strict=True)
    known = [(first, second) for first, second in pairs if None not in (first, second)]
    differences = [second - first for first, second in known]
    error = stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else float("nan")
    print(f"| {name} | {mean(differences):+.4f} | {error:.4f} | {len(differences)} |", flush=True)


def main():
    """Print a table for each site."""
    args = parse_args()
    args.kit = str(Path(args.kit).resolve())
    for site in args.site:
        path = str(Path(site).resolve())
        worths = play_all(args, path, "none", SWITCHES["none"])
        print(f"{Path(site).stem}: {mean(w for w in worths if w is not None):.4f} with all")
        print("| without | worth | standard error | days |\n|---|---|---|---|")
        for name, policy in SWITCHES.items():
            if name != "none" and (not args.only or name in args.only):
                show_difference(name, worths, play_all(args, path, name, policy))


if __name__ == "__main__":
    main()
