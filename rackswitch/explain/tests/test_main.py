import pytest

from rackswitch.explain.main import EXIT_UNKNOWN_IDENTITY, EXIT_USAGE, Commands
from rackswitch.explain.tests.support import LoggingDaemon
from rackswitch.explain.tests.test_story import ended, failed


def write_log(path, identity: str) -> str:
    daemon = LoggingDaemon("a")
    daemon.log(1.0, failed(identity))
    daemon.log(1.1, ended(identity, "may have run: no answer"))
    path.write_text("\n".join(daemon.lines))
    return str(path)


@pytest.mark.parametrize("identity", ["r1", "12345", "0042", "1e5"])
def test_the_cause_of_a_failed_request_is_told(tmp_path, capsys, identity):
    Commands().explain(identity, write_log(tmp_path / "a.log", identity))
    output = capsys.readouterr().out
    assert "cause: target i-1" in output


def test_an_unknown_identity_and_a_missing_file_are_told_apart(tmp_path, capsys):
    with pytest.raises(SystemExit) as unknown:
        Commands().explain("other", write_log(tmp_path / "a.log", "r1"))
    assert unknown.value.code == EXIT_UNKNOWN_IDENTITY
    assert "none of 2 lines" in capsys.readouterr().err
    with pytest.raises(SystemExit) as missing:
        Commands().explain("r1", str(tmp_path / "none"))
    assert missing.value.code == EXIT_USAGE


def test_bytes_that_are_no_text_are_passed_over(tmp_path, capsys):
    path = tmp_path / "a.log"
    write_log(path, "r1")
    path.write_bytes(b"\xff\xfe{\n" + path.read_bytes())
    Commands().explain("r1", str(path))
    assert "cause: target i-1" in capsys.readouterr().out


def test_status_without_an_address_is_a_usage_error():
    with pytest.raises(SystemExit) as usage:
        Commands().status()
    assert usage.value.code == EXIT_USAGE
