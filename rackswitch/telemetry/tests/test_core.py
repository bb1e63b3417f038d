import json
import logging

from loguru import logger

from rackswitch.telemetry import set_up_logs


def test_records_of_the_standard_librarys_logging_become_json_lines(capsys):
    # Guards against plain-text lines of grpclib and asyncio on standard error.
    set_up_logs("WARNING")
    try:
        try:
            raise TimeoutError("Deadline exceeded")
        except TimeoutError:
            logging.getLogger("grpclib.server").exception("Timeout occurred")
        logging.getLogger("asyncio").warning("socket.send() raised {exception}.")
    finally:
        logger.remove()
        logging.basicConfig(handlers=[], force=True)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert [line["message"] for line in lines] == [
        "grpclib.server: Timeout occurred",
        "asyncio: socket.send() raised {exception}.",
    ]
    assert "Deadline exceeded" in lines[0]["error"]
