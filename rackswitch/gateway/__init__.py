"""The daemon of a deployment on the operator platform.

It joins the decisions (table, leases, routing, requests, jobs, weights) to the platform's
adapter; one keeper a subject. `core` puts the parts together. Where to look for what:

- what callers and trainers send: `edge` checks it, `call_edge` and `job_edge` answer,
  `request_front` and `stream_relay` send calls to targets, `target_choice` picks these;
- batch jobs: `job_keeper` owns them, `item_starter` and `item_runner` run their items,
  `result_appender` keeps results and `job_checkpoints` unfinished texts, `job_reader` reads
  results at any daemon, `job_store` and `job_records` are their form in the key-value
  service;
- what the key-value service tells: `watching` keeps copies of it, or follows another
  daemon's (`followers`, `copies`, `copy_messages`), and `state_keeper` and
  `control_entries` take the changes in;
- this daemon in the fleet: `session` is its lease, `peer_service` what others ask of it;
- versions of weights: `version_keeper` plans and `order_sender` sends.
"""
