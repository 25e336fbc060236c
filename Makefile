# Set-up, tests and measurements. Every target prepares a virtual environment by itself.
VENV := .venv
PYTHON := $(VENV)/bin/python
LARKPOST := $(VENV)/bin/larkpost
READY := $(VENV)/.ready

.PHONY: demo test lint fuzz mutants scale bench proto clean

$(READY): requirements.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(READY)

demo: $(READY) ## both sites as real processes, with an engine and a daemon killed
	$(LARKPOST) rehearsal demo

test: $(READY) ## all tests
	$(PYTHON) -m tests.run

lint: $(READY)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

clean:
	rm -rf $(VENV) build .hypothesis .ruff_cache
