"""What the platform sends is decoded whole or refused whole."""

from __future__ import annotations

import copy
from typing import Any

import orjson
import pytest
from hypothesis import given
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


def declare(data: Any):
    return decode_declaration(orjson.dumps(data), data_center="dc1")


class TestDeclaration:
    def test_a_configuration_becomes_a_table(self):
        found = declare(builders.platform_configuration())
        assert found.version == 7
        assert found.table.pools["pool-b"].standby
        queue = found.table.queues["queue-a"]
        assert (queue.host, queue.path_prefix, queue.pool) == ("a.example", "/jobs/", "pool-a")
        assert queue.slack_factor == 1.6
        assert found.table.teams["team-a"].max_cpu_millis == 352_731
        assert found.keys == {hash_key("key-1"): "team-a", hash_key("key-2"): "team-a"}

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
    def test_what_is_invalid_is_refused_whole(self, fault):
        data = copy.deepcopy(builders.platform_configuration())
        fault(data)
        with pytest.raises(InvalidInputError):
            declare(data)

    def test_every_cut_of_the_text_is_refused(self):
        text = orjson.dumps(builders.platform_configuration())
        for length in range(0, len(text), 7):
            with pytest.raises(InvalidInputError):
                decode_declaration(text[:length], data_center="dc1")

    @given(st.recursive(st.none() | st.booleans() | st.integers() | st.text(), st.lists))
    def test_other_documents_are_refused(self, value):
        with pytest.raises(InvalidInputError):
            decode_declaration(orjson.dumps(value, default=str), data_center="dc1")

    def test_deep_nesting_is_refused(self):
        with pytest.raises(InvalidInputError):
            decode_declaration(b"[" * 100_000, data_center="dc1")


class TestJob:
    def test_fields_that_are_left_out_are_nothing(self):
        spec = decode_job(orjson.dumps({"spec": "x", "steps": [{"count": 2}]}))
        assert spec.steps[0].count == 2
        assert not spec.steps[0].gang

    def test_every_field_is_read(self):
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
        found = spec.steps[1]
        assert found.after == (0,)
        assert (found.max_per_minion, found.may_miss, found.latency_target_ms) == (2, 3, 90)
        assert all((found.gang, found.same_rack, found.lasting, found.filler, found.speculative))
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
    def test_what_is_invalid_is_refused(self, body):
        with pytest.raises(InvalidInputError):
            decode_job(orjson.dumps(body))


class TestReport:
    def test_a_heartbeat_becomes_a_report(self):
        found = decode_report("i-1", orjson.dumps(builders.platform_heartbeat()))
        assert (found.pool, found.rack, found.kind) == ("pool-a", "r1-3", "a")
        assert found.capacity.cpu_millis == 16_000
        assert found.born_ms == 1_790_000_000_000

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
    def test_a_foreign_one_names_no_minion(self, change):
        with pytest.raises(InvalidInputError):
            decode_report("i-1", orjson.dumps({**builders.platform_heartbeat(), **change}))

    @given(st.binary(max_size=60))
    def test_bytes_that_cannot_be_read_name_no_minion(self, body):
        with pytest.raises(InvalidInputError):
            decode_report("i-1", body)


class TestLook:
    def test_lists_are_read(self):
        look = decode_poll_result(
            {
                "born": 5,
                "clock-ms": 482_113,
                "running": [["a.0.1.17", 2, "0b", 41], ["b.0.0.0", 1, "", 100, 77]],
                "finished": [[58, "a.0.1.9", 1, "done", ""]],
            }
        )
        assert [task.figure for task in look.running] == [0, 77]
        assert look.ended[0].end is RunEnd.DONE

    @pytest.mark.parametrize(
        "body",
        [
            {"clock-ms": 1, "running": [["a"]]},
            {"clock-ms": 1, "finished": [[1, "a", 1, "vanished", ""]]},
            {"running": []},
            {"clock-ms": 1, "running": {}},
        ],
    )
    def test_unreadable_lists_are_no_answer(self, body):
        with pytest.raises(UnknownOutcomeError):
            decode_poll_result(body)


class TestSettings:
    def test_the_settings_are_read_and_unknown_fields_passed_over(self):
        found = decode_settings({**builders.platform_settings(), "news": {"a": 1}})
        assert found.link_address == "10.1.0.26:7000"
        assert found.own_address == "10.1.0.26:7001"
        assert found.link_address_of("10.2.0.18:8345") == "10.2.0.18:7000"
        assert found.timing.lease_ms == 4_000
        assert found.grace_ms == 6_000

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
    def test_a_wrong_value_is_named(self, change, field):
        with pytest.raises(InvalidInputError) as caught:
            decode_settings({**builders.platform_settings(), **change})
        assert caught.value.path == field

    def test_a_missing_file_is_a_settings_error(self, tmp_path):
        with pytest.raises(SettingsError):
            load_settings(str(tmp_path / "none.toml"))
