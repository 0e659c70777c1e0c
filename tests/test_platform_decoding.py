"""Messages from the platform are either decoded completely or refused."""

from __future__ import annotations

import copy
import json
from typing import Any

import orjson
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from hornbeamreach.exceptions import InvalidInputError, SettingsError
from hornbeamreach.fleet.ports import UnknownOutcomeError
from hornbeamreach.platform.decoding import (
    decode_declaration,
    decode_job,
    decode_report,
    hash_key,
)
from hornbeamreach.platform.minion_port import decode_poll_result
from hornbeamreach.platform.settings import decode_settings, load_settings
from hornbeamreach.tables.workload import RunEnd

from . import builders


def decode_data(data: Any):
    return decode_declaration(orjson.dumps(data), data_center="dc1")


class TestDeclaration:
    def test_a_configuration_is_decoded_to_a_table(self):
        declaration = decode_data(builders.platform_configuration())
        assert declaration.version == 7
        assert declaration.table.pools["pool-b"].standby
        queue = declaration.table.queues["queue-a"]
        assert (queue.host, queue.path_prefix, queue.pool) == ("a.example", "/jobs/", "pool-a")
        assert queue.slack_factor == 1.6
        assert declaration.table.teams["team-a"].max_cpu_millis == 352_731
        assert declaration.keys == {hash_key("key-1"): "team-a", hash_key("key-2"): "team-a"}

    @pytest.mark.parametrize(
        "fault",
        [
            lambda d: d.pop("routes"),
            lambda d: d.pop("services"),
            lambda d: d.pop("limits"),
            lambda d: d.pop("version"),
            lambda d: d.update(version="7"),
            lambda d: d.update(version=True),
            lambda d: d.update(routes={}),
            lambda d: d["routes"][0].update(service="nowhere"),
            lambda d: d["routes"][0].update({"timeout-ms": 0}),
            lambda d: d["routes"][0].pop("timeout-ms"),
            lambda d: d["routes"][0].pop("host"),
            lambda d: d["routes"][0].update({"path-prefix": 5}),
            lambda d: d["routes"].append({**d["routes"][0], "name": "queue-c"}),
            lambda d: d["routes"].append("no table"),
            lambda d: d["tenants"].append({"name": "team-b", "api-keys": ["key-1"]}),
            lambda d: d["tenants"][0].update({"api-keys": [1]}),
            lambda d: d["tenants"][0].update(cap=[]),
            lambda d: d["services"].append({}),
        ],
    )
    def test_an_invalid_configuration_is_refused(self, fault):
        data = copy.deepcopy(builders.platform_configuration())
        fault(data)
        with pytest.raises(InvalidInputError):
            decode_data(data)

    def test_a_truncated_configuration_is_refused(self):
        text = orjson.dumps(builders.platform_configuration())
        for length in range(0, len(text), 7):
            with pytest.raises(InvalidInputError):
                decode_declaration(text[:length], data_center="dc1")

    @given(st.recursive(st.none() | st.booleans() | st.integers() | st.text(), st.lists))
    @example(-(2**63) - 1)
    @example([2**64])
    def test_other_documents_are_refused(self, value):
        # orjson can't encode integers of more than 64 bits, but a caller may send them.
        with pytest.raises(InvalidInputError):
            decode_declaration(json.dumps(value).encode(), data_center="dc1")

    def test_deep_nesting_is_refused(self):
        with pytest.raises(InvalidInputError):
            decode_declaration(b"[" * 100_000, data_center="dc1")


class TestJob:
    def test_omitted_fields_have_their_defaults(self):
        spec = decode_job(orjson.dumps({"spec": "x", "steps": [{"count": 2}]}))
        assert spec.steps[0].count == 2
        assert not spec.steps[0].gang

    def test_every_field_is_decoded(self):
        step = {
            "count": 20,
            "cpu": 2_000,
            "mem-mb": 1_024,
            "gpu": 1,
            "estimate-ms": 7_000,
            "after": [0],
            "checkpointing": True,
            "gang": True,
            "rack-local": True,
            "required-label": "a",
            "data-rack": "r1-3",
            "anti-affinity": 2,
            "speculative": True,
            "long-running": True,
            "image": "img",
            "target-ms": 90,
            "fills": True,
            "may-miss": 3,
        }
        body = {"spec": "x", "steps": [{"count": 1}, step], "repetitions": 3, "first-ms": 10**12}
        spec = decode_job(orjson.dumps(body))
        decoded = spec.steps[1]
        assert decoded.after == (0,)
        assert (decoded.max_per_minion, decoded.may_miss, decoded.latency_target_ms) == (2, 3, 90)
        assert all(
            (decoded.gang, decoded.same_rack, decoded.lasting, decoded.filler, decoded.speculative)
        )
        assert spec.occurrences == 3

    @pytest.mark.parametrize(
        "body",
        [
            {},
            {"spec": "x"},
            {"spec": "x", "steps": []},
            {"spec": 1, "steps": [{"count": 1}]},
            {"spec": "x" * 4_001, "steps": [{"count": 1}]},
            {"spec": "x", "steps": [{"count": 0}]},
            {"spec": "x", "steps": [{"count": 1.5}]},
            {"spec": "x", "steps": [{"count": 1, "after": [0]}]},
            {"spec": "x", "steps": [{"count": 1, "cpu": -1}]},
            {"spec": "x", "steps": [{"count": 10**9}]},
        ],
    )
    def test_an_invalid_job_is_refused(self, body):
        with pytest.raises(InvalidInputError):
            decode_job(orjson.dumps(body))


class TestReport:
    def test_a_heartbeat_is_decoded_to_a_report(self):
        report = decode_report("i-1", orjson.dumps(builders.platform_heartbeat()))
        assert (report.pool, report.rack, report.kind) == ("pool-a", "r1-3", "a")
        assert report.capacity.cpu_millis == 16_000
        assert report.born_ms == 1_790_000_000_000

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "asleep"},
            {"service": None},
            {"sequence": "4"},
            {"address": 5},
            {"capacity": []},
            {"labels": "a"},
            {"born": "yesterday"},
        ],
    )
    def test_a_heartbeat_with_an_invalid_field_is_refused(self, change):
        with pytest.raises(InvalidInputError):
            decode_report("i-1", orjson.dumps({**builders.platform_heartbeat(), **change}))

    @given(st.binary(max_size=60))
    def test_bytes_that_cannot_be_read_name_no_minion(self, body):
        with pytest.raises(InvalidInputError):
            decode_report("i-1", body)


class TestPoll:
    def test_lists_of_runs_are_decoded(self):
        result = decode_poll_result(
            {
                "born": 5,
                "clock-ms": 482_113,
                "running": [["a.0.1.17", 2, "0b", 41], ["b.0.0.0", 1, "", 100, 77]],
                "finished": [[58, "a.0.1.9", 1, "done", ""]],
            }
        )
        assert [task.figure for task in result.running] == [0, 77]
        assert result.ended[0].end is RunEnd.DONE

    @pytest.mark.parametrize(
        "body",
        [
            {"running": []},
            {"clock-ms": 1, "running": {}},
            {"clock-ms": 1, "finished": "a"},
        ],
    )
    def test_undecodable_lists_leave_the_outcome_unknown(self, body):
        with pytest.raises(UnknownOutcomeError):
            decode_poll_result(body)


class TestSettings:
    def test_settings_are_decoded_and_unknown_fields_ignored(self):
        settings = decode_settings({**builders.platform_settings(), "news": {"a": 1}})
        assert settings.link_address == "10.1.0.26:7000"
        assert settings.metrics_address == "10.1.0.26:7001"
        assert settings.link_address_of("10.2.0.18:8345") == "10.2.0.18:7000"
        assert settings.timing.lease_ms == 4_000
        assert settings.grace_ms == 6_000
        # Without the factor no task waits for a rack.
        assert settings.timing.remote_factor == 1.0

    def test_the_factor_of_remote_racks_is_decoded(self):
        bounds = {"remote-factor": 2.5}
        settings = decode_settings({**builders.platform_settings(), "bounds": bounds})
        assert settings.timing.remote_factor == 2.5

    @pytest.mark.parametrize(
        ("change", "field"),
        [
            ({"seeds": []}, "seeds"),
            ({"seeds": ["here"]}, "seeds"),
            ({"internal-port-range": [7_000]}, "internal-port-range"),
            ({"bootstrap": "yes"}, "bootstrap"),
            ({"node-name": None}, "node-name"),
            ({"bind-addresses": {"control": "10.1.0.26"}}, "control"),
        ],
    )
    def test_the_path_of_an_invalid_value_is_reported(self, change, field):
        with pytest.raises(InvalidInputError) as caught:
            decode_settings({**builders.platform_settings(), **change})
        assert caught.value.path == field

    def test_a_missing_file_raises_a_settings_error(self, tmp_path):
        with pytest.raises(SettingsError):
            load_settings(str(tmp_path / "none.toml"))
