"""Snapshots of operator sessions: commands, their output and exit codes."""

import re
from urllib.parse import urlsplit

from result import Ok

from galenaferry.admin.tests.builders import AdminBench
from galenaferry.operator import command
from galenaferry.operator.client import AdminResponse

VALID_FILE = """# version 0
[defaults]
floor_percent = 70

[exception bookings]
scope = service summit-bookings
reason = a lost slot costs a guide a day; see #42
floor_percent = 80
"""
INVALID_FILE = (
    "[defaults]\nfloor_percent = 170\ncolour = red\n[exception x]\nscope = service a\n"
)


class Session:
    """Runs commands against one VM's administration interface and records them."""

    def __init__(self, monkeypatch, capsys, folder):
        self.bench = AdminBench()
        self.capsys, self.folder = capsys, folder
        self.transcript = []
        monkeypatch.setattr(command, "send_request", self.send_request)
        monkeypatch.setattr(
            command.time, "sleep", lambda seconds: self.bench.run(seconds * 1000.0)
        )
        monkeypatch.chdir(folder)

    def send_request(self, target, method, path, body=None):
        response = self.bench.send_request(method, path, body, target.token)
        assert urlsplit(path).path.startswith("/v1/")
        return Ok(AdminResponse(response.status, response.body))

    def run(self, *arguments, token="secret"):
        code = command.main(["--token", token, *arguments])
        captured = self.capsys.readouterr()
        self.transcript += [
            f"$ galenaferry {' '.join(arguments)}",
            captured.out + captured.err + f"exit {code}",
        ]
        return code

    def write(self, name, text):
        (self.folder / name).write_text(text)

    def text(self):
        return re.sub(r"0\.0\.0\.0:\d+", "VM", "\n".join(self.transcript))


def test_a_change_from_check_to_history(monkeypatch, capsys, tmp_path, snapshot):
    session = Session(monkeypatch, capsys, tmp_path)
    session.write("bad.ini", INVALID_FILE)
    session.write("first.ini", VALID_FILE)
    session.run("check", "bad.ini")
    session.run("check", "first.ini")
    session.run("show", token="wrong")
    session.run(
        "apply",
        "first.ini",
        "--reason",
        "first rules",
        "--author",
        "ana",
        "--id",
        "one",
    )
    session.run("show")
    session.run("exceptions")
    session.run("--json", "exceptions")
    session.run(
        "apply", "first.ini", "--reason", "again", "--author", "ana", "--id", "one"
    )
    session.run("history")
    session.run("status")
    session.run("drain")
    assert session.text() == snapshot


def test_changes_of_two_operators(monkeypatch, capsys, tmp_path, snapshot):
    session = Session(monkeypatch, capsys, tmp_path)
    session.write("a.ini", "# version 0\n[defaults]\nmax_attempts = 2\n")
    session.write("b.ini", "# version 0\n[defaults]\nmax_attempts = 4\n")
    session.write("c.ini", "# version 0\n[defaults]\nfloor_percent = 50\n")
    session.write("d.ini", "[defaults]\nfloor_percent = 50\n")
    session.run("apply", "a.ini", "--reason", "fewer", "--author", "ana", "--id", "a")
    session.run("apply", "b.ini", "--reason", "more", "--author", "bat", "--id", "b")
    session.run("apply", "c.ini", "--reason", "floor", "--author", "bat", "--id", "c")
    session.run("apply", "d.ini", "--reason", "no base", "--author", "bat")
    session.run("check", "missing.ini")
    session.run("show")
    assert session.text() == snapshot
