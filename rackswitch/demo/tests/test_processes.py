"""Separate processes under kill, pause, an outage and a planned stop."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import msgspec

from rackswitch.demo.fleet import (
    CALLER_TOKEN,
    FLEET_SECRET,
    OPERATOR_TOKEN,
    REGISTER,
    TRAINER_TOKEN,
    sha256_hex,
    table_rows,
)
from rackswitch.standins.callers import CallerStandIn
from rackswitch.standins.loopback import own_loopback_host
from rackswitch.standins.trainer import TrainerStandIn
from rackswitch.table import DaemonRow, TargetRow

TIMEOUT_SECONDS = 40.0
DAEMONS = 3
MODEL, APPLICATION, SERVICE = REGISTER.model, REGISTER.application, REGISTER.service


def free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    for bound_socket in sockets:
        bound_socket.bind((host, 0))
    ports = [bound_socket.getsockname()[1] for bound_socket in sockets]
    for bound_socket in sockets:
        bound_socket.close()
    return ports


class Processes:
    """The processes of a small fleet."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.running: dict[str, subprocess.Popen] = {}
        # On 127.0.0.1, outgoing connections may take a port between its choice and its use.
        self.host = own_loopback_host()
        ports = iter(free_ports(self.host, 2 * DAEMONS + 10))
        self.port = {name: next(ports) for name in ("kv", "store", "vms", "service", "scorer")}
        self.engines = {f"{MODEL}-0": next(ports), f"{MODEL}-1": next(ports)}
        self.engines |= {f"{APPLICATION}-0": next(ports), f"{APPLICATION}-1": next(ports)}
        self.daemons = {f"d{n}": (next(ports), next(ports)) for n in range(DAEMONS)}

    def url(self, port):
        return f"http://{self.host}:{port}"

    def daemon_urls(self):
        return [self.url(port) for port, _ in self.daemons.values()]

    def start(self, name, module, *arguments):
        command = [sys.executable, "-c", f"from {module} import main; main()", *arguments]
        log = (self.folder / f"{name}.log").open("a")
        self.running[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start_stand_ins(self):
        module = "rackswitch.standins.main"
        store_url = self.url(self.port["store"])
        host = f"--host={self.host}"
        self.start("kv", module, "kv", str(self.port["kv"]), host)
        self.start("store", module, "store", str(self.port["store"]), MODEL, host)
        self.start("vms", module, "vm_list", str(self.port["vms"]), host)
        self.start("service", module, "service", str(self.port["service"]), host)
        self.start("scorer", module, "scorer", str(self.port["scorer"]), host)
        for name, port in self.engines.items():
            model = name.rsplit("-", 1)[0]
            extra = [f"--store_url={store_url}"] if model == MODEL else []
            self.start(name, module, "engine", str(port), name, model, host, *extra)

    def start_daemon(self, name):
        port, peer_port = self.daemons[name]
        settings = {
            "daemon": name,
            "host": self.host,
            "zone": REGISTER.zones[int(name[1:]) % 3],
            "port": port,
            "peer_port": peer_port,
            "kv_url": self.url(self.port["kv"]),
            "weight_store_url": self.url(self.port["store"]),
            "vm_list_url": self.url(self.port["vms"]),
            "fleet_secret": FLEET_SECRET,
            "operator_token_sha256": sha256_hex(OPERATOR_TOKEN),
            "heartbeat_seconds": 0.3,
            "lease_seconds": 2.0,
            "confirm_seconds": 1.0,
            "poll_seconds": 0.05,
        }
        path = self.folder / f"{name}.json"
        path.write_text("// settings of " + name + "\n" + json.dumps(settings))
        self.start(name, "rackswitch.daemon.main", f"--settings={path}")

    def targets(self):
        zone = REGISTER.zones[0]
        rows = [
            TargetRow(name=name, url=self.url(port), zone=zone, serves=name.rsplit("-", 1)[0])
            for name, port in self.engines.items()
        ]
        for name, serves, protocol in (
            ("service", SERVICE, "plain"),
            ("scorer", "scorer", "scorer"),
        ):
            url = self.url(self.port[name])
            rows.append(TargetRow(name=name, url=url, zone=zone, serves=serves, protocol=protocol))
        return rows

    def kill_all(self):
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not await condition():
            await asyncio.sleep(0.1)


async def get(session, url, headers=None):
    try:
        async with session.get(url, headers=headers) as response:
            return response.status, await response.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError):
        return 0, None


async def edit(session, url, rows, edit_id):
    """Retry an edit with the same id until it is accepted."""
    body = msgspec.json.encode({"changes": [{"row": row} for row in rows], "edit_id": edit_id})
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}

    async def accepted():
        try:
            path = url + "/admin/v1/edits"
            async with session.post(path, data=body, headers=headers) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    await wait_until(accepted)


@asynccontextmanager
async def running_processes(folder):
    processes = Processes(folder)
    timeout = aiohttp.ClientTimeout(total=8.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            processes.start_stand_ins()
            for port in [*processes.port.values(), *processes.engines.values()]:
                await wait_until(lambda port=port: responds(session, processes.url(port)))
            for name, (_, peer_port) in processes.daemons.items():
                vm = {"zone": "z", "role": "daemon", "peer_port": peer_port}
                async with session.put(
                    f"{processes.url(processes.port['vms'])}/vms/{name}", json=vm
                ):
                    pass
                processes.start_daemon(name)
            for url in processes.daemon_urls():
                await wait_until(lambda url=url: responds(session, url + "/healthz"))
            rows = table_rows(REGISTER, processes.targets(), DAEMONS)
            await edit(session, processes.daemon_urls()[0], rows, "first")
            for url in processes.daemon_urls():
                await wait_until(lambda url=url: is_ready(session, url))
            yield processes, session
        finally:
            processes.kill_all()


async def responds(session, url):
    return (await get(session, url))[0] != 0


async def is_ready(session, url):
    return (await get(session, url + "/readyz"))[0] == 200


async def revision_of(session, url):
    body = (await get(session, url + "/readyz"))[1]
    return body["revision"] if body else 0


def test_kill_pause_outage_and_planned_stop(tmp_path):
    async def scenario():
        async with running_processes(tmp_path) as (processes, session):
            urls = processes.daemon_urls()
            caller = CallerStandIn(CALLER_TOKEN, urls[:2])
            trainer = TrainerStandIn(
                "nightly",
                TRAINER_TOKEN,
                MODEL,
                urls,
                processes.url(processes.port["store"]),
                scored=True,
            )
            training_task = asyncio.create_task(trainer.run(5))

            # Kill one daemon and restart it after an edit.
            processes.running["d2"].kill()
            processes.running["d2"].wait()
            await edit(session, urls[0], [DaemonRow(name="note")], "second")
            processes.start_daemon("d2")

            # Pause a daemon for longer than its leases; it catches up once resumed.
            processes.running["d1"].send_signal(signal.SIGSTOP)
            await edit(session, urls[0], [DaemonRow(name="note", draining=True)], "third")
            await asyncio.sleep(3.0)
            processes.running["d1"].send_signal(signal.SIGCONT)
            for url in urls:
                await wait_until(lambda url=url: has_revision(session, url, 3))

            # Callers are served during an outage of the key-value service.
            processes.running["kv"].send_signal(signal.SIGSTOP)
            await asyncio.gather(*(caller.complete(APPLICATION, f"t{n}", 32, n) for n in range(10)))
            assert caller.record.completed == 10
            processes.running["kv"].send_signal(signal.SIGCONT)
            await asyncio.wait_for(training_task, TIMEOUT_SECONDS)

            # A planned stop under load.
            caller.urls = urls[:1]
            calls = [
                asyncio.create_task(caller.complete(APPLICATION, f"s{n}", 64, n)) for n in range(20)
            ]
            await asyncio.sleep(0.05)
            processes.running["d0"].send_signal(signal.SIGTERM)
            await asyncio.gather(*calls)
            assert processes.running["d0"].wait(timeout=TIMEOUT_SECONDS) == 0
            await caller.close()
            return caller.record, trainer.record

    caller, trainer = asyncio.run(scenario())
    assert caller.violations() == []
    assert caller.failed == 0, caller.details
    assert caller.may_have_run == 0
    assert trainer.violations() == []
    assert trainer.samples == 5 * 16


async def has_revision(session, url, revision):
    return await revision_of(session, url) == revision


def test_invalid_settings_exit_with_one_line_and_code_2(tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"daemon": "d0", "zone": 7} // wrong')
    command = [sys.executable, "-c", "from rackswitch.daemon.main import main; main()"]
    finished = subprocess.run([*command, f"--settings={path}"], capture_output=True, text=True)
    assert finished.returncode == 2
    assert finished.stderr.count("\n") == 1
    assert "$.zone" in finished.stderr
    assert "found 7" in finished.stderr


def run_command_line(url, *arguments):
    """Run the operators' command line; return its exit code and output."""
    command = [sys.executable, "-c", "from rackswitch.cli.main import main; main()", *arguments]
    environment = {**os.environ, "RACKSWITCH_URL": url, "RACKSWITCH_TOKEN": OPERATOR_TOKEN}
    finished = subprocess.run(command, capture_output=True, text=True, env=environment)
    return finished.returncode, finished.stdout


def test_command_line_covers_the_administration_api(tmp_path):
    async def scenario():
        async with running_processes(tmp_path) as (processes, _):
            url = processes.daemon_urls()[1]

            async def run(*arguments):
                return await asyncio.to_thread(run_command_line, url, *arguments)

            row = tmp_path / "row.json"
            row.write_text('{"kind": "daemon", "name": "x"} // a row')
            assert (await run("put", str(row), "--if_revision=0"))[0] == 0
            assert (await run("put", str(row), "--if_revision=0"))[0] == 3
            code, output = await run("get", "daemon/x")
            assert (code, json.loads(output)["row"]["name"]) == (0, "x")
            bad = tmp_path / "bad.json"
            bad.write_text('[{"row": {"kind": "route", "name": "r", "choices": []}}]')
            assert (await run("edit", str(bad), "--dry_run"))[0] == 1
            assert (await run("drain", f"target/{APPLICATION}-0"))[0] == 0
            code, output = await run("rows", "--output=json")
            rows = json.loads(output)["rows"]
            assert rows[f"target/{APPLICATION}-0"]["row"]["draining"] is True
            code, output = await run("status")
            assert all(name in output for name in processes.daemons)
            code, output = await run("history", "--output=json")
            assert len(json.loads(output)["edits"]) == 3
            assert (await run("remove", "daemon/x"))[0] == 0
            processes.running["d1"].kill()
            processes.running["d1"].wait()
            assert (await run("status"))[0] == 4

    asyncio.run(scenario())
