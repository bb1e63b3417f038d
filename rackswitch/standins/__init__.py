"""Stand-ins for the platform, callers and trainers, for the demo, tests and benchmarks."""
