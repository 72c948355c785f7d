"""What each mechanism of the scheduler is worth: played with it and without it.

    .venv/bin/python benchmarks/ablation.py [--seeds N]
    .venv/bin/python benchmarks/ablation.py --kit PROGRAM --site SITE [--site SITE] [--pairs N]

Without a kit three loads are played on the scheduler alone, in virtual time: some minutes. With
one, days of a site are played on scratch copies of this checkout, which differ in nothing but the
`scheduling` section of the settings; the copies lie beside this checkout and stay, with their
entries in the journal. Printed is the mean difference to the defaults, with its standard error.
"""

import argparse
import json
import re
import shutil
import subprocess
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from functools import partial
from pathlib import Path
from statistics import mean, stdev

from anvilflow.jobs import SchedulingPolicy
from anvilflow.standins import simulate_load

ROOT = Path(__file__).resolve().parent.parent

#: Mechanism and the settings that switch it off. What keeps a promise has no switch.
SWITCHES = {
    "share of workers for urgent work": {"reserve_share": 0.0},
    "workers kept free, with preemption": {"max_reserved": 0},
    "preemption": {"preempt_s": None},
    "less urgent work beside what is kept": {"backfills": False},
    "giving up sick runs": {"judges_runs": False},
    "slow workers last": {"avoids_slow": False},
    "copies": {"copies": False},
    "asks by need": {"asks_by_need": False},
    "asking ahead": {"asks_ahead": False},
    "limit on long asks": {"long_ask_share": 2.0},
}

LOADS = ("usual", "heavy", "slow workers", "wide")

#: Days that are played, each with a seed of its own.
DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")
FIRST_SEED = 100


def parse_args():
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=24, help="plays of a load and mechanism")
    parser.add_argument("--kit", help="the program that plays days")
    parser.add_argument("--site", action="append", default=[], help="a site file")
    parser.add_argument("--pairs", type=int, default=10, help="days a site and mechanism")
    parser.add_argument("--jobs", type=int, default=4, help="plays at once")
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


def play_day(kit, copy, site, why, number):
    """Play a day; return its worth, or None when it was not played to its end."""
    day = DAYS[number % len(DAYS)]
    command = [kit, "run", site, day, "--seed", str(FIRST_SEED + number), "--no-cpu", "--why", why]
    run = subprocess.run(command, cwd=copy, capture_output=True, text=True, check=False)
    found = re.search(r"^worth ([\d.]+) = ", run.stdout, re.MULTILINE)
    return float(found[1]) if found else None


def play_days(args, site, name, policy):
    """Return the worth of each day with a policy."""
    play = partial(play_day, args.kit, make_copy(name, policy), site, f"ablation: without {name}")
    with ThreadPoolExecutor(args.jobs) as pool:
        return list(pool.map(play, range(args.pairs)))


def play_loads(args, load, _, policy):
    """Return the share of worth that callers got, by seed."""
    play = partial(simulate_load, load, SchedulingPolicy(**policy))
    with ProcessPoolExecutor(args.jobs) as pool:
        return list(pool.map(play, range(args.seeds)))


def show_difference(name, worths, without):
    """Print a row of the table."""
    pairs = zip(worths, without, strict=True)
    differences = [second - first for first, second in pairs if None not in (first, second)]
    error = stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else float("nan")
    print(f"| {name} | {mean(differences):+.4f} | {error:.4f} | {len(differences)} |", flush=True)


def show_table(args, play, where, title):
    """Print the table of a load or a site."""
    worths = play(args, where, "none", {})
    print(f"{title}: {mean(each for each in worths if each is not None):.4f} with all")
    print("| without | difference | standard error | plays |\n|---|---|---|---|")
    for name, policy in SWITCHES.items():
        if not args.only or name in args.only:
            show_difference(name, worths, play(args, where, name, policy))


def main():
    """Print a table for each load, or for each site."""
    args = parse_args()
    if args.kit is None:
        for load in LOADS:
            show_table(args, play_loads, load, load)
        return
    args.kit = str(Path(args.kit).resolve())
    for site in args.site:
        show_table(args, play_days, str(Path(site).resolve()), Path(site).stem)


if __name__ == "__main__":
    main()
