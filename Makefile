# A short front for CMake. `make demo` and `make test` work on a fresh Debian machine.
BUILD ?= build

.PHONY: all packages build test demo demo-crash check format clean

all: build

packages:
	scripts/install-packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure

demo: build
	BUILD=$(BUILD) scripts/demo.sh

demo-crash: build
	BUILD=$(BUILD) scripts/demo.sh crash

check:
	scripts/check-style.sh

format:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

clean:
	rm -rf $(BUILD)
