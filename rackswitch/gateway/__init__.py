"""The daemon of a deployment on the operator platform.

It joins the decisions (table, leases, routing, requests, jobs, weights) to the platform's
adapter; one keeper a subject.
"""
