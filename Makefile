# What a developer needs: `make build`, `make test`, `make lint`, `make run` (with RELAY_CONFIG set).

.PHONY: build test lint run try

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	exec target/release/curlewusher

# The node and the toy server of example/, until it is interrupted.
try: build
	sh example/try.sh
