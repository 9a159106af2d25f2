PY := .venv/bin/python
SEED ?= 1
EXAMPLES ?= 1000
RUNS ?= 12

.PHONY: env demo test lint bench plots capacity soak soak-processes binary clean

env: .venv/.ready

.venv/.ready: requirements.lock pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install -q -r requirements.lock
	.venv/bin/pip install -q --no-deps -e .
	touch $@

demo: env
	$(PY) -m cranberrysail demo

test: env
	$(PY) -m pytest

lint: env
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .

bench: env
	$(PY) -m bench.relay
	$(PY) -m bench.admission
	$(PY) -m bench.placement $(SEED)
	$(PY) -m bench.costs
	$(PY) -m bench.faults zonemoves $(SEED)
	$(PY) -m bench.faults surge $(SEED)
	$(PY) -m bench.faults bookings $(SEED)

# Tables of all policies, and charts of some, for docs/design.md.
SHEETS := guides authors guides-flood authors-grown
SHOWN := --policy "as the product" --policy "least loaded" \
	--policy "without fetching" --policy "two homes" --policy "all-knowing"

plots: env
	for sheet in $(SHEETS); do \
		$(PY) -m cranberrysail bench bench/sheets/$$sheet.jsonc --seed $(SEED); \
		$(PY) -m cranberrysail bench bench/sheets/$$sheet.jsonc --seed $(SEED) \
			$(SHOWN) --plots docs/plots > /dev/null; \
	done

capacity: env
	$(PY) -m bench.capacity

soak: env
	$(PY) -m tests.soak $(SEED) $(EXAMPLES)

# Real processes with faults from outside; see docs/soak.md.
soak-processes: env
	$(PY) -m tests.processes.soak $(SEED) $(RUNS)

binary: env
	bin/make-binary

clean:
	rm -rf .venv build dist *.egg-info
