import pytest

from rackswitch.explain.main import EXIT_UNKNOWN_IDENTITY, EXIT_USAGE, Commands
from rackswitch.explain.tests.support import LoggingDaemon
from rackswitch.explain.tests.test_story import make_attempt_failed, make_request_ended


def write_log(path, identity: str) -> str:
    daemon = LoggingDaemon("a")
    daemon.log(1.0, make_attempt_failed(identity))
    daemon.log(1.1, make_request_ended(identity, "may have run: no answer"))
    path.write_text("\n".join(daemon.lines))
    return str(path)


@pytest.mark.parametrize("identity", ["r1", "12345", "0042", "1e5"])
def test_explain_prints_the_cause_of_a_failed_request(tmp_path, capsys, identity):
    Commands().explain(identity, write_log(tmp_path / "a.log", identity))
    output = capsys.readouterr().out
    assert "cause: target i-1" in output


def test_unknown_identity_and_missing_file_have_different_exit_codes(tmp_path, capsys):
    with pytest.raises(SystemExit) as unknown:
        Commands().explain("other", write_log(tmp_path / "a.log", "r1"))
    assert unknown.value.code == EXIT_UNKNOWN_IDENTITY
    assert "none of 2 lines" in capsys.readouterr().err
    with pytest.raises(SystemExit) as missing:
        Commands().explain("r1", str(tmp_path / "none"))
    assert missing.value.code == EXIT_USAGE


def test_invalid_utf8_in_a_log_is_skipped(tmp_path, capsys):
    path = tmp_path / "a.log"
    write_log(path, "r1")
    path.write_bytes(b"\xff\xfe{\n" + path.read_bytes())
    Commands().explain("r1", str(path))
    assert "cause: target i-1" in capsys.readouterr().out


def test_status_without_a_url_is_a_usage_error():
    with pytest.raises(SystemExit) as usage:
        Commands().status()
    assert usage.value.code == EXIT_USAGE
