"""Adapter to the operator platform: its names, formats and calls, without any decisions.

Data from the platform is decoded here into the types of the other subpackages. No other folder
depends on the platform's headers, keys, paths or fields.

- `names`: headers, paths and keys; `settings`: the settings file of each process;
- `ingress` and `job_calls`: what callers and trainers send;
- `desired_state` and `servers`: what operators, trainers and targets write;
- `store` and `store_messages`: the key-value service;
- `connections`, `answers`, `target_calls`, `item_runs`, `events` and `orders`: calls to
  engines and plain services.
"""
