# BERYLWEIR_VENV lets several work trees share one virtual environment.
BERYLWEIR_VENV ?= .venv
BIN := $(BERYLWEIR_VENV)/bin
STAMP := $(BERYLWEIR_VENV)/.installed

.PHONY: run test lint format bench bench-hop bench-idle bench-pipelining crashes replacements slopes limits soak soak-programs history recovery rollout report

$(STAMP): pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(BERYLWEIR_VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/python -m berylweir.demo
	$(if $(UPGRADE),$(BIN)/python -m berylweir.soak.upgrade \
	  $(if $(PREVIOUS),--previous $(PREVIOUS)))

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/berylweir-replay bench

report: $(STAMP)
	$(BIN)/berylweir-replay report

crashes: $(STAMP)
	$(BIN)/python -m bench.crashes

replacements: $(STAMP)
	$(BIN)/python -m bench.replacements

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

limits: $(STAMP)
	$(BIN)/python -m bench.limits

rollout: $(STAMP)
	$(BIN)/python -m bench.rollout

bench-hop: $(STAMP)
	$(BIN)/python -m bench.hop

bench-idle: $(STAMP)
	$(BIN)/python -m bench.idle

bench-pipelining: $(STAMP)
	$(BIN)/python -m bench.pipelining

soak: $(STAMP)
	SEED=$(or $(SEED),1) BERYLWEIR_SOAK_EXAMPLES=$(or $(EXAMPLES),2000) \
	  $(BIN)/python -m pytest tests/keeper/test_machine.py

soak-programs: $(STAMP)
	$(BIN)/berylweir-soak --seed $(or $(SEED),1) --seconds $(or $(SECONDS),40) \
	  --vms $(or $(VMS),3) $(if $(ISOLATION),--isolation)

history: $(STAMP)
	$(BIN)/python -m berylweir.history.program \
	  --seconds $(or $(SECONDS),60) --seed $(or $(SEED),1)

recovery: $(STAMP)
	$(BIN)/python -m bench.recovery
