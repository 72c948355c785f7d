# Two commands do everything on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install demo test lint format ablation chaos soak soak-regressions bench-cell bench-narrow bench-scheduler days bench-decisions bench-path capacity fuzz idle processes reference lock thrift

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/anvilflow demo

# Tests of known faults are listed in KNOWN-RED.txt: printed, and passed over.
test: $(STAMP)
	@echo "Known red, passed over:"; cat KNOWN-RED.txt
	$(BIN)/python -m pytest $$(sed -n 's/^\(\(anvilflow\|soak\)[^ ]*\) .*/--deselect=\1/p' KNOWN-RED.txt)

lint: $(STAMP)
	$(BIN)/black --check --quiet anvilflow benchmarks deploy soak
	$(BIN)/ruff check anvilflow benchmarks deploy soak
	$(BIN)/mypy anvilflow

format: $(STAMP)
	-$(BIN)/ruff check --fix --quiet anvilflow benchmarks deploy soak
	$(BIN)/black --quiet anvilflow benchmarks deploy soak

# 1,000 seeds, several processes at once; some six minutes on eight cores.
CHAOS_SEEDS ?= 1000
CHAOS_SHARE := 25
chaos: $(STAMP)
	rm -rf out/chaos
	seq 0 $(CHAOS_SHARE) $$(($(CHAOS_SEEDS) - 1)) | xargs -P $$(nproc) -I{} \
		$(BIN)/python -m anvilflow.chaos run --first {} --seeds $(CHAOS_SHARE) --out out/chaos/{}.json
	$(BIN)/python -m anvilflow.chaos total out/chaos/*.json

# Real processes under random faults, some 30 s a seed: make soak SOAK_FIRST=1 SOAK_SEEDS=50. Without
# SOAK_FIRST the seeds are fresh ones. A broken seed's logs stay under out/soak.
SOAK_SEEDS ?= 8
SOAK_JOBS ?= 4
soak: $(STAMP)
	$(BIN)/python -m soak many $(if $(SOAK_FIRST),--first $(SOAK_FIRST)) --seeds $(SOAK_SEEDS) --jobs $(SOAK_JOBS)

# Every seed that ever failed, from soak/seeds.txt.
soak-regressions: $(STAMP)
	$(BIN)/python -m soak regressions --jobs $(SOAK_JOBS)

# The cell on stand-ins of the users' platform: half a minute.
bench-cell: $(STAMP)
	$(BIN)/python benchmarks/bench_cell.py

# Equal small instances on narrow links: starts a second, bytes and processor at the home, take-overs.
bench-narrow: $(STAMP)
	$(BIN)/python benchmarks/bench_narrow.py $(SIZES)

# Days of our own on a site of the users' kit: make days KIT=path/to/kit/program SITE=path/to/site
days:
	for day in deploy/days/*.toml; do $(KIT) run $(SITE) $$day --why "own days" || exit 1; done

# What each mechanism of the scheduler is worth on played loads: some minutes. On days of a site:
# make ablation ABLATION="--kit path/to/kit/program --site path/to/site"
ablation: $(STAMP)
	$(BIN)/python benchmarks/ablation.py $(ABLATION)

# A plan and a look round at three sizes.
bench-scheduler: $(STAMP)
	$(BIN)/python benchmarks/bench_scheduler.py

bench-decisions: $(STAMP)
	$(BIN)/python benchmarks/bench_decisions.py

# 100,000 steps of the stateful fuzzing; CI runs 2,400.
fuzz: $(STAMP)
	ANVILFLOW_FUZZ_EXAMPLES=1700 $(BIN)/python -m pytest anvilflow/decisions/tests/test_oracle.py

reference: $(STAMP)
	$(BIN)/python -m anvilflow.reference pages docs/operators

# Real processes under load, with SIGKILL, SIGSTOP for longer than a lease, SIGTERM: two minutes.
processes: $(STAMP)
	benchmarks/processes.sh

idle: $(STAMP)
	benchmarks/idle.sh 60

capacity: $(STAMP)
	$(BIN)/python -m anvilflow.reference capacity docs/sweep.json docs/capacity.md.in docs/CAPACITY.md

bench-path: $(STAMP)
	$(BIN)/python benchmarks/bench_path.py

# Both need tools that the build itself does without.
lock:
	pip-compile --quiet --extra dev --no-emit-index-url --no-emit-trusted-host --no-emit-find-links \
		--no-header --strip-extras --allow-unsafe --generate-hashes -o requirements.lock pyproject.toml

thrift:
	thrift --gen py:slots -out . anvilflow/peers/messages.thrift && rm -f __init__.py
