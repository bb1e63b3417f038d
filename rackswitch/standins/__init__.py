"""Small stand-ins for the platform, for the demo, tests and benchmarks."""
