# make test: set up and test. make demo: set up and play a short bad day on loopback.
PY = .venv/bin/python
STAMP = .venv/.petrelway-installed

.PHONY: test demo proto bench browser

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -d .venv || python3 -m venv .venv
	$(PY) -m pip install -q -r requirements.txt -r requirements-dev.txt
	$(PY) -m pip install -q --no-build-isolation --no-deps -e . || $(PY) -m pip install -q --no-deps -e .
	touch $(STAMP)

test: $(STAMP)
	$(PY) -m ruff check petrelway tests benchmarks
	$(PY) -m ruff format --check petrelway tests benchmarks
	$(PY) -m pytest

demo: $(STAMP)
	$(PY) -m petrelway rehearse examples/short-day.jsonnet

bench: $(STAMP)
	$(PY) benchmarks/front.py

# the generated code is checked in; needs requirements-dev.txt
proto: $(STAMP)
	cd petrelway/wire && ../../$(PY) -m grpc_tools.protoc -I. --python_out=. worker.proto roster.proto store.proto

# for tests/test_browser.py, which is skipped without them; needs root and Debian's packages
browser:
	command -v chromium chromedriver || (apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends chromium chromium-driver)
