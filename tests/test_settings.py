"""Loading of settings: errors for all invalid keys at once, and precedence of flags."""

import pytest

from cranklane.control.process import ControlSettings
from cranklane.errors import SettingsError
from cranklane.node.settings import NodeSettings
from cranklane.settings import load


def write(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return str(path)


VALID_SETTINGS = """
name = "n1"
zone = "a"
controls = ["127.0.0.1:7000"]
http = "127.0.0.1:7001"
data = "data"
"""


def test_flags_override_the_file(tmp_path):
    settings = load(
        NodeSettings, write(tmp_path, VALID_SETTINGS), {"zone": "b", "stop_seconds": "5"}
    )
    assert (settings.name, settings.zone, settings.stop_seconds) == ("n1", "b", 5.0)


def test_all_problems_are_reported_with_source_key_and_expectation(tmp_path):
    path = write(tmp_path, 'name = "N 1"\nzone = "a"\nhttp = 7\nspeed = 1\nstop_seconds = -1\n')
    with pytest.raises(SettingsError) as error:
        load(NodeSettings, path, {"listen": "nowhere"})
    problems = error.value.problems
    assert f"{path}: name: found 'N 1'; expected a name of small letters" in problems[0]
    assert any("http: found 7; expected an address" in line for line in problems)
    assert any("speed: unknown key; known keys are" in line for line in problems)
    assert any("stop_seconds: found -1; expected seconds from 0" in line for line in problems)
    assert any("--listen: listen: found 'nowhere'" in line for line in problems)
    assert any("controls: missing; expected a list of addresses" in line for line in problems)
    assert any("data: missing" in line for line in problems)


def test_missing_and_malformed_files_are_rejected(tmp_path):
    with pytest.raises(SettingsError, match="is not TOML"):
        load(NodeSettings, write(tmp_path, "name ="))
    with pytest.raises(SettingsError, match="cannot be read"):
        load(NodeSettings, str(tmp_path / "missing.toml"))


def test_operators_are_validated():
    flags = {"name": "c", "zone": "a", "listen": "127.0.0.1:1", "http": "127.0.0.1:2"}
    with pytest.raises(SettingsError, match="name:scope:sha256"):
        load(ControlSettings, None, {**flags, "data": "d", "operators": "me:*:short"})
