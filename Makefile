# What a developer needs: `make build`, `make test`, `make lint`, `make run` (with RELAY_CONFIG set).

.PHONY: build test lint run try testbed

build:
	cargo build --release --locked

# The testbed beside the node, and a short scenario played on it: leaves found/testbed/report.html to open.
testbed:
	cargo build --release --workspace --locked
	target/release/curlewusher-testbed run scenarios/smoke.toml

# All tests but the known failures of KNOWN-RED.txt, each of which has to fail.
test:
	sh .ci/test

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --document-private-items

run: build
	exec target/release/curlewusher

# The node and the toy server of example/, until it is interrupted.
try: build
	sh example/try.sh
