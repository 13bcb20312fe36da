PY = .venv/bin/python

.PHONY: env demo test lint bench golden

env: .venv/.ready

.venv/.ready: pyproject.toml
	test -x $(PY) || python3.11 -m venv .venv || python3 -m venv .venv
	$(PY) -m pip install --quiet --disable-pip-version-check -e '.[test]'
	touch .venv/.ready

demo: env
	$(PY) scripts/demo.py

lint: env
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

test: lint
	$(PY) -m pytest -n 4

bench: env
	$(PY) scripts/bench.py

golden: env
	$(PY) -m pytest tests/golden --snapshot-update
