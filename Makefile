# make demo    installs, builds and shows a fleet at work
# make check   builds and runs all tests
PRESET ?= dev
BUILD := build/$(PRESET)

.PHONY: setup build demo check proof bench lint clean

setup:
	tools/install-packages

build: setup
	cmake --preset $(PRESET) > /dev/null
	cmake --build --preset $(PRESET)

demo: build
	CITRONWICK_BINARIES=$(CURDIR)/$(BUILD) tools/with-timeout 120 $(BUILD)/bin/demo

check: build
	tools/check $(BUILD)

proof: build
	ctest --test-dir $(BUILD) -L proof --output-on-failure

bench:
	$(MAKE) build PRESET=release
	CITRONWICK_BINARIES=$(CURDIR)/build/release build/release/bin/citronbench bench/standard.toml

lint: setup
	tools/lint

clean:
	rm -rf build
