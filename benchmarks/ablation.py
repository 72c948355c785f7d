"""Ablation study: the effect of switching off each mechanism of the scheduler.

    .venv/bin/python benchmarks/ablation.py [--seeds N]
    .venv/bin/python benchmarks/ablation.py --kit PROGRAM --site SITE [--site SITE] [--pairs N]

Without `--kit`, each of `LOADS` is simulated on the scheduler alone, in virtual time; this takes a
few minutes. With `--kit`, the kit's program runs scenarios of a site on scratch copies of this
checkout that differ only in the `scheduling` section of the settings. The copies, with their
journal entries, are created next to this checkout and are not removed. The output is the mean
difference from the default policy, with its standard error.
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

#: Settings that switch off each mechanism. Mechanisms that uphold an invariant have no switch.
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
    "guaranteed rates and jobs in time first": {"shares": "off"},
    "admission by room": {"admission": "off"},
    "places for urgent tasks": {"places": "off"},
    "requests by demand": {"tickets": "off"},
    "learnt speeds": {"speeds": "off"},
}

LOADS = ("usual", "heavy", "slow workers", "wide", "memory", "memory heavy", "crowded", "uneven")

#: Scenarios that the kit runs in turn, each time with another seed, counted from `FIRST_SEED`.
SCENARIOS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")
FIRST_SEED = 100


def parse_args():
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=24, help="plays of a load and mechanism")
    parser.add_argument("--kit", help="the program that plays days")
    parser.add_argument("--site", action="append", default=[], help="a site file")
    parser.add_argument("--pairs", type=int, default=10, help="days a site and mechanism")
    parser.add_argument("--jobs", type=int, default=4, help="plays at once")
    parser.add_argument("--only", action="append", help="mechanisms; default: all")
    return parser.parse_args()


def make_clone(name, policy):
    """Return a clone of this checkout, next to it, whose settings contain a policy."""
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


def run_scenario(kit, copy, site, why, index):
    """Run a scenario; return the worth that the kit reports, or None if the run did not finish."""
    scenario = SCENARIOS[index % len(SCENARIOS)]
    argv = [kit, "run", site, scenario, "--seed", str(FIRST_SEED + index), "--no-cpu", "--why", why]
    result = subprocess.run(argv, cwd=copy, capture_output=True, text=True, check=False)
    found = re.search(r"^worth ([\d.]+) = ", result.stdout, re.MULTILINE)
    return float(found[1]) if found else None


def run_scenarios(args, site, name, policy):
    """Return the worth of each scenario under a policy."""
    run = partial(
        run_scenario, args.kit, make_clone(name, policy), site, f"ablation: without {name}"
    )
    with ThreadPoolExecutor(args.jobs) as pool:
        return list(pool.map(run, range(args.pairs)))


def run_simulations(args, load, _, policy):
    """Return the share of the total worth that callers received, for each seed."""
    run = partial(simulate_load, load, SchedulingPolicy(**policy))
    with ProcessPoolExecutor(args.jobs) as pool:
        return list(pool.map(run, range(args.seeds)))


def print_row(name, worths, ablated):
    """Print the table row of one mechanism, from the pairs of which both runs finished."""
    pairs = zip(worths, ablated, strict=True)
    differences = [second - first for first, second in pairs if None not in (first, second)]
    error = stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else float("nan")
    print(f"| {name} | {mean(differences):+.4f} | {error:.4f} | {len(differences)} |", flush=True)


def print_table(args, measure, where, title):
    """Print the table of one load or site."""
    worths = measure(args, where, "none", {})
    print(f"{title}: {mean(each for each in worths if each is not None):.4f} with all")
    print("| without | difference | standard error | plays |\n|---|---|---|---|")
    for name, policy in SWITCHES.items():
        if not args.only or name in args.only:
            print_row(name, worths, measure(args, where, name, policy))


def main():
    """Print a table for each load, or for each site."""
    args = parse_args()
    if args.kit is None:
        for load in LOADS:
            print_table(args, run_simulations, load, load)
        return
    args.kit = str(Path(args.kit).resolve())
    for site in args.site:
        print_table(args, run_scenarios, str(Path(site).resolve()), Path(site).stem)


if __name__ == "__main__":
    main()
