"""The daemon of a deployment on the operator platform.

It connects the decision logic (table, leases, routing, requests, jobs, weights, relay) with the
platform's adapter. `core` sets up the parts, `context` holds what they share, and `policy` switches
mechanisms on and off. Each subject has a subpackage:

- `callers`: `caller_handler` checks callers' requests and `call_handler` answers them;
  `request_dispatcher` and `stream_relay` send calls to targets, `target_choice` selects these;
- `jobs`: `job_handler` answers trainers, `job_manager` owns batch jobs and takes them over,
  `result_appender` stores results and `job_checkpoints` unfinished texts, `job_reader` reads
  results at any daemon, `job_store` and `job_records` define their form in the key-value service;
- `items`: `item_starter` and `item_runner` run the items at engines; `engine_paces` and
  `load_poller` provide the engines' pace and load;
- `versions`: `version_manager` plans loads of weights and `order_sender` sends the orders;
- `duties`: usage reports and engine orders to the operators' API;
- `store`: `store_relay` carries calls to the key-value service, `session` holds this daemon's lease
  in it; `watching` keeps replicas of its entries or follows another daemon's, `state_manager` and
  `control_entries` apply the changes.

`peer_service` serves the calls of other daemons.
"""
