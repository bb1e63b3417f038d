"""The daemon of a deployment on the operator platform.

It joins the decisions (table, leases, routing, requests, jobs, weights, relay) to the platform's
adapter. `core` puts the parts together and `context` is what they share; `policy` switches
mechanisms. The parts have a subpackage a subject:

- `callers`: what callers send is checked by `caller_handler` and answered by `call_handler`;
  `request_dispatcher` and `stream_relay` send calls to targets, `target_choice` picks these;
- `jobs`: `job_handler` answers trainers, `job_manager` owns batch jobs and takes them over,
  `result_appender` keeps results and `job_checkpoints` unfinished texts, `job_reader` reads
  results at any daemon, `job_store` and `job_records` are their form in the key-value service;
- `items`: `item_starter` and `item_runner` run the items at engines; `engine_paces` and
  `load_poller` say how fast and how full these are;
- `versions`: `version_manager` plans loads of weights and `order_sender` sends the orders;
- `store`: `store_relay` is the way to the key-value service, `session` this daemon's lease in it;
  `watching` keeps copies of its entries or follows another daemon's (`followers`, `replicas`,
  `replica_messages`), `state_manager` and `control_entries` take the changes in.

`peer_service` is what other daemons ask of this one.
"""
