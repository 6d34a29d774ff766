# Every target does its own set-up: it makes .venv and installs the pinned requirements and
# the three packages, the first time and whenever a pin or a package's metadata changes.

PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
READY := $(VENV)/.ready
PACKAGES := bambootiller-core bambootiller bambootiller-standins
METADATA := $(PACKAGES:%=packages/%/pyproject.toml)
SOURCES := packages platform tests $(wildcard spec)
AREAS ?=
PARTS ?=

.PHONY: help setup proto agreement overhead rest demo test lint format prove experiments capacity clean

help:
	@echo "make demo         run the whole system once against stand-ins"
	@echo "make test         run all tests (AREAS='settings cli' for some)"
	@echo "make lint         check formatting and style; make format mends the former"
	@echo "make prove        rerun the proofs (PARTS='slots core' for some; long)"
	@echo "make experiments  run the experiments again and write their pages"
	@echo "make agreement    run small scenarios on the models and on real processes"
	@echo "make overhead     what entry and agent add to a call of the engine"
	@echo "make rest         what entries and agents cost while nobody calls"
	@echo "make proto        write the generated protocol code anew"
	@echo "make capacity     measure the slopes behind docs/CAPACITY.md"

setup: $(READY)

# setuptools comes from the pins, so the packages are built without fetching another.
$(READY): requirements.txt requirements-dev.txt $(METADATA)
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --disable-pip-version-check \
		-r requirements.txt -r requirements-dev.txt
	$(RUN) -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation $(PACKAGES:%=-e packages/%)
	touch $(READY)

demo: $(READY)
	$(RUN) -m bambootiller_standins.demo

test: $(READY)
	$(RUN) -m tests $(AREAS)

lint: $(READY)
	@code=0; for check in "black --check" "isort --check" flake8; do \
		$(RUN) -m $$check $(SOURCES) || code=1; \
	done; exit $$code

format: $(READY)
	$(RUN) -m isort --quiet $(SOURCES)
	$(RUN) -m black --quiet $(SOURCES)

prove: $(READY)
	$(RUN) -m tests.prove $(PARTS)

experiments: $(READY)
	$(RUN) -m bambootiller_standins.experiments

# The generated code is committed, so that a build needs no generator.
PROTO := packages/bambootiller/src
proto: $(READY)
	$(RUN) -m grpc_tools.protoc -I $(PROTO) --python_out=$(PROTO) \
		--grpc_python_out=$(PROTO) $(PROTO)/bambootiller/rpc/bambootiller.proto

agreement: $(READY)
	$(RUN) -m bambootiller_standins.agreement

overhead: $(READY)
	$(RUN) -m bambootiller_standins.overhead

rest: $(READY)
	$(RUN) -m tests.rest

capacity: $(READY)
	$(RUN) -m bambootiller_standins.capacity

clean:
	rm -rf $(VENV) out
