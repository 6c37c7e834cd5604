# `make demo` and `make test` set up what they need and run it; everything else is in README.md.
PYTHON ?= python3
VENV := .venv
READY := $(VENV)/.gateway-ready

.PHONY: demo test lint setup clean

setup: $(READY)

$(READY): requirements.txt requirements-gateway.txt requirements-lab.txt requirements-dev.txt \
		pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements.txt -r requirements-gateway.txt \
		-r requirements-lab.txt -r requirements-dev.txt
	$(VENV)/bin/pip -q install --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(READY)
	$(VENV)/bin/mintmast demo

lint: $(READY)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/python -m mintmast.lab.limits

test: lint
	$(VENV)/bin/python -m pytest -q

clean:
	rm -rf $(VENV) build *.egg-info
