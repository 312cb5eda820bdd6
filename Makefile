.PHONY: install demo gateway-demo test binary

VENV := .venv
PYTHON ?= python3.11
RUN := $(VENV)/bin

install: $(VENV)/installed

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN)/pip install -q -r requirements.lock
	$(RUN)/pip install -q --no-deps -e .
	touch $@

demo: install
	sh tools/run_site.sh $(RUN) examples/kuo-hsing-small/site.yaml \
	  $(RUN)/currantwharf demo examples/kuo-hsing-small/demo.yaml

gateway-demo: install
	$(RUN)/currantwharf gateway-demo

test: install
	bash .ci/check $(RUN)

binary: install
	$(RUN)/python tools/build_binary.py dist/currantwharf
