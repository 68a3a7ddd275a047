# Common targets: `make demo`, `make test`, `make lint`, `make bench`.
VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := $(wildcard packages/*) platform
comma := ,
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(wildcard packages/*),$(CURDIR)/$(p)/src)$(space)$(CURDIR)/platform):$(CURDIR)/features
export PYTHONHASHSEED := 0

.PHONY: setup env lint format test demo soak fleet-soak bench capacity ci clean

# A VENV given on the command line is used as it is; nothing is installed in it.
ifeq ($(origin VENV),command line)
setup: ;
else
setup: $(VENV)/.installed
endif

env:
	@echo 'export PYTHONPATH=$(PYTHONPATH) PYTHONHASHSEED=0 PATH=$(abspath $(VENV))/bin:$$PATH'

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	@test -x $(PY) || python3 -m venv $(VENV)
	@$(PY) -m pip install --quiet --requirement requirements.txt
	@$(PY) -m pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),--editable ./$(p))
	@touch $@

format: setup
	-$(PY) -m ruff check --fix --quiet packages platform features tools deploy
	$(PY) -m ruff format packages platform features tools deploy

lint: setup
	$(PY) -m ruff format --check packages platform features tools deploy
	$(PY) -m ruff check packages platform features tools deploy
	$(PY) -m flake8 packages platform features tools deploy
	$(PY) -m mypy packages/*/src platform/turmericyard_fleet platform/turmericyard_rounds

# Number of feature files that run at the same time.
WORKERS ?= 5

test: setup
	@mkdir -p build
	@rm -f build/behave.json build/failed-logs.txt
	-$(PY) tools/run_features.py --workers $(WORKERS) --report build/behave.json --logs build/failed-logs.txt $(FEATURES)
	@$(PY) tools/ci_summary.py --report build/behave.json --logs build/failed-logs.txt --known-red KNOWN-RED.txt

SEED ?= 1
MINUTES ?= 1
soak: setup
	$(PY) -m turmericyard_bench.soak --seed $(SEED) --minutes $(MINUTES)

NODES ?= 4
# FIRST_BUILD=DIR: the first process of each node runs the build in DIR.
export FIRST_BUILD
fleet-soak: setup
	$(PY) -m support.fleet_soak --seed $(SEED) --minutes $(MINUTES) --nodes $(NODES)

demo: setup
	$(PY) -m turmericyard_bench.demo

bench: setup
	@mkdir -p build
	$(PY) -m turmericyard_bench bench --json build/bench.json

capacity: setup
	@mkdir -p build
	$(PY) -m turmericyard_bench capacity --json build/capacity.json

clean:
	rm -rf build
