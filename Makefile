# Set-up, tests and measurements. Every target prepares a virtual environment by itself.
VENV := .venv
PYTHON := $(VENV)/bin/python
LARKPOST := $(VENV)/bin/larkpost
READY := $(VENV)/.ready

.PHONY: demo test lint fuzz mutants soak soak-virtual soak-idle bench regressions proto clean

$(READY): requirements.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(READY)

demo: $(READY) ## both sites as real processes, with an engine and a daemon killed
	$(LARKPOST) rehearsal demo

test: $(READY) ## all tests
	PYTHONHASHSEED=0 $(PYTHON) -m tests.run

fuzz: $(READY) ## the fleet fuzz with fresh seeds; prints how to reproduce a failure
	PYTHONHASHSEED=0 LARKPOST_FUZZ_FRESH=1 LARKPOST_FUZZ_SHRINK=1 LARKPOST_FUZZ_EXAMPLES=200 \
		$(PYTHON) -m tests.run tests.test_fuzz

mutants: $(READY) ## breaks each mechanism; the fuzz must catch every one
	$(PYTHON) -m tests.mutants

soak: $(READY) ## the real programs under faults from outside; SOAK="--seed 7 --seconds 300"
	$(PYTHON) -W ignore -m tests.process_soak $(SOAK)

soak-virtual: $(READY) ## a long run under overlapping faults on virtual time, some seeds
	PYTHONHASHSEED=0 $(PYTHON) -W ignore -m tests.soak $(SOAK)

soak-idle: $(READY) ## bursts of faults and calm times on virtual time; no item may lie at no server
	PYTHONHASHSEED=0 $(PYTHON) -W ignore -m tests.idle_soak $(SOAK)

bench: $(READY) ## larkpost beside a bare relay of the same libraries
	$(LARKPOST) rehearsal bench

regressions: ## scores of the users' sites: BENCH=PROGRAM SITES="FILE..."; one day at a time
	@test -x "$(BENCH)" || { echo "regressions: name the users' bench, BENCH=PROGRAM; it is not part of this repository"; exit 2; }
	@test -n "$(SITES)" || { echo "regressions: name the site files, SITES=\"FILE...\""; exit 2; }
	@for site in $(SITES); do \
		test -r "$$site" || { echo "regressions: $$site cannot be read"; exit 2; }; \
		"$(BENCH)" score "$$site" --jobs 1 --why "regression run" || exit 1; \
	done

lint: $(READY)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

clean:
	rm -rf $(VENV) build .hypothesis .ruff_cache
