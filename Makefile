.PHONY: venv test demo demo-check soak soak-check soak-failed bench bench-check capacity format

VENV := .venv
PYTHON := $(VENV)/bin/python

venv: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --editable ".[dev]"
	touch $@

test: venv
	$(VENV)/bin/ruff format --check src benches soak
	$(VENV)/bin/ruff check src benches soak
	$(VENV)/bin/mypy
	$(PYTHON) -m pytest

format: venv
	$(VENV)/bin/ruff format src benches soak
	$(VENV)/bin/ruff check --fix src benches soak

demo: venv
	$(PYTHON) -m galenaferry.demo

demo-check: venv
	$(PYTHON) -m galenaferry.demo --check

soak-check: venv
	$(PYTHON) -m soak --seed 1 --seeds 2 --seconds 6 --vms 3 --untimed
	$(PYTHON) -m soak --stops --seed 1 --seconds 4 --vms 3 --untimed

soak: venv
	$(PYTHON) -m soak --seed 1 --seeds 50 --seconds 15 --vms 4
	$(PYTHON) -m soak --stops --seed 1 --seeds 10 --seconds 15 --vms 4

soak-failed: venv
	for seed in $$(awk '/^[0-9]/ {print $$1}' soak/failed-seeds.txt); do \
		$(PYTHON) -m soak --seed $$seed --seconds 15 --vms 4 || exit 1; done

bench: venv
	$(PYTHON) benches/latency.py
	$(PYTHON) benches/parsing.py
	$(PYTHON) benches/streaming.py
	$(PYTHON) benches/fleet.py
	$(PYTHON) benches/spreading.py
	$(PYTHON) benches/requests.py
	$(PYTHON) benches/detection.py
	$(PYTHON) benches/placing.py

# Small sizes, to see that each bench still runs; the figures mean nothing.
bench-check: venv
	$(PYTHON) benches/parsing.py
	$(PYTHON) benches/requests.py --bookings 200 --vms 3 --seconds 0.05 --failing 300
	$(PYTHON) benches/spreading.py --nodes 40 --changes 2
	$(PYTHON) benches/detection.py --part errors --traces 1 --processes 2
	$(PYTHON) benches/placing.py --seeds 1

capacity: venv
	$(PYTHON) benches/capacity.py
