"""The operator platform: its names, formats and calls, and nothing that decides.

Everything that the platform sends is decoded here, once, into types of the other
subpackages; nothing outside this folder knows a header, key, path or field of it.

- `names`: headers, paths and keys; `settings`: the file that each process gets;
- `ingress` and `job_calls`: what callers and trainers send;
- `desired_state` and `servers`: what operators, trainers and targets write;
- `store` and `store_messages`: the key-value service;
- `connections`, `answers`, `target_calls`, `item_runs`, `events` and `orders`: calls of
  engines and plain services.
"""
