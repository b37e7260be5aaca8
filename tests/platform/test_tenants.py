"""API keys and tenants on one proxy with real sockets: authentication, revocation, quotas.

Guards against three failures, with the number of cases on one day of a deployment: all statements
ran under the proxy's own name instead of the tenant's (12,597), sessions with unknown keys were
served (21), and revoked keys remained valid until their sessions ended (3,496 statements).
"""

import asyncio
import json

from support.platform_system import SERVICE, LineClient, with_system

TENANTS = {"tern": (["key-a", "key-b"], 1000, 1000), "heron": (["key-c"], 1000, 1000)}
# Seconds until a new configuration is in force; the stand-in reports changes at once.
IN_FORCE_SECONDS = 0.5


def with_tenants(folder, scenario, **limits):
    with_system(folder, scenario, tenants=dict(TENANTS), **limits)


async def reconfigure(system, tenants):
    system.tenants = tenants
    system.write_configuration({"latest": "primary", "own": "read_own_writes"})
    await asyncio.sleep(IN_FORCE_SECONDS)


def test_instance_gets_tenant_name_and_never_the_key(tmp_path):
    async def scenario(system):
        for number, (key, tenant) in enumerate(
            [("key-a", "tern"), ("key-c", "heron"), ("key-b", "tern"), ("key-c", "heron")]
        ):
            client = await LineClient.open(system.front_port, "latest", key)
            assert (await client.ask(f"WRITE t{number} x", f"w{number}"))[0].startswith("COMPLETE")
            assert system.ran_for(f"w{number}") == tenant
            assert await client.ask("BEGIN") == ["COMPLETE -", "READY T -"]
            await client.ask("READ t0", f"r{number}")
            assert (await client.ask("COMMIT", f"c{number}"))[-1] == "READY I -"
            assert system.ran_for(f"r{number}") == system.ran_for(f"c{number}") == tenant

    with_tenants(tmp_path, scenario)


def test_unknown_key_is_rejected(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port, "latest", "key-z")
        assert client.greeting.startswith("ERROR AUTHFAIL")
        assert await client.closed()

    with_tenants(tmp_path, scenario)


def test_a_public_database_needs_no_key(tmp_path):
    async def scenario(system):
        system.public = ("own",)
        await reconfigure(system, system.tenants)
        client = await LineClient.open(system.front_port, "own", "anybody")
        assert (await client.ask("READ t0", "r1"))[-2].startswith("COMPLETE")
        refused = await LineClient.open(system.front_port, "latest", "anybody")
        assert refused.greeting.startswith("ERROR AUTHFAIL")

    with_tenants(tmp_path, scenario)


def test_a_key_that_is_taken_away_ends_open_sessions_and_transactions(tmp_path):
    async def scenario(system):
        idle = await LineClient.open(system.front_port, "latest", "key-a")
        other = await LineClient.open(system.front_port, "latest", "key-b")
        in_transaction = await LineClient.open(system.front_port, "latest", "key-a")
        await in_transaction.ask("BEGIN")
        assert (await in_transaction.ask("WRITE t1 x", "w1"))[0].startswith("COMPLETE")
        await reconfigure(system, {**TENANTS, "tern": (["key-b"], 1000, 1000)})
        assert (await idle.ask("READ t1", "r1"))[0].startswith("ERROR AUTHFAIL")
        lines = await in_transaction.ask("COMMIT", "c1")
        assert lines[0].startswith("ERROR AUTHFAIL")
        assert lines[-1] == "READY I -"
        assert system.runs("r1") == system.runs("c1") == []
        assert (await other.ask("READ t1", "r2"))[0] == "DATAROW none", "it was rolled back"

    with_tenants(tmp_path, scenario)


def test_key_moved_to_another_tenant_aborts_open_transactions(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port, "latest", "key-a")
        await client.ask("BEGIN")
        await client.ask("WRITE t1 x", "w1")
        moved = {"tern": (["key-b"], 1000, 1000), "heron": (["key-c", "key-a"], 1000, 1000)}
        await reconfigure(system, moved)
        assert (await client.ask("COMMIT", "c1"))[0].startswith("ERROR ABORTED")
        assert (await client.ask("READ t1", "r1"))[0] == "DATAROW none"
        assert system.ran_for("r1") == "heron"

    with_tenants(tmp_path, scenario)


def test_without_news_of_the_configuration_keys_are_of_no_use_after_the_bound(tmp_path):
    """The proxy could not learn of a revoked key, since the store answers no calls."""

    async def scenario(system):
        client = await LineClient.open(system.front_port, "latest", "key-a")
        assert (await client.ask("READ t1", "r1"))[-2].startswith("COMPLETE")
        system.store.stop_answering()
        await asyncio.sleep(0.3)
        assert (await client.ask("READ t1", "r2"))[-2].startswith("COMPLETE")
        await asyncio.sleep(1.0)
        lines = await client.ask("READ t1", "r3")
        assert lines[0].startswith("ERROR BUSY configuration_too_old")
        assert system.runs("r3") == []

    bounds = {"strict_revocation": True, "revoke_ms": 1000}
    with_tenants(tmp_path, scenario, bounds=bounds)


def test_no_page_and_no_log_line_shows_a_key(tmp_path, caplog):
    caplog.set_level("DEBUG")

    async def scenario(system):
        await LineClient.open(system.front_port, "latest", "key-z")
        client = await LineClient.open(system.front_port, "latest", "key-a")
        await client.ask("READ t1", "r1")
        await client.ask("READ", "r2")
        await reconfigure(system, {"tern": (["key-b"], 1000, 1000)})
        await client.ask("READ t1", "r3")
        pages = [await system.status_of(path, system.ports[2]) for path in ("/metrics", "/status")]
        shown = "".join(page.body.decode() for page in pages)
        logged = "".join(str(record.__dict__) for record in caplog.records)
        assert "configuration_in_force" in logged and "request_failed" in logged
        for key in ("key-a", "key-b", "key-c", "key-z"):
            assert key not in shown
            assert key not in logged

    with_tenants(tmp_path, scenario)


def test_operator_sees_which_tenant_exceeded_which_quota(tmp_path, caplog):
    caplog.set_level("INFO")

    async def scenario(system):
        await reconfigure(system, {"tern": (["key-a"], 1, 3), "heron": (["key-c"], 1000, 1000)})
        client = await LineClient.open(system.front_port, "latest", "key-a")
        answers = [await client.ask("READ t1", f"r{number}") for number in range(8)]
        refused = [lines[0] for lines in answers if lines[0].startswith("ERROR")]
        assert refused and all("BUSY quota_exceeded retry_after_ms=" in line for line in refused)
        page = await system.status_of("/status", system.ports[2])
        (first, second) = json.loads(page.body)["tenants"]
        assert first == {
            "name": "tern",
            "rate": 1.0,
            "burst": 3.0,
            "share": 1.0,
            "passed": 8 - len(refused),
            "refused": len(refused),
            "unavailable": 0,
            "waited": 0,
            "waiting": 0,
        }
        assert second["refused"] == 0
        figures = (await system.status_of("/metrics", system.ports[2])).body.decode()
        assert 'orchidwind_tenant_operations_total{result="refused",tenant="tern"}' in figures
        record = next(item for item in caplog.records if item.message == "quota_exceeded")
        assert (record.tenant, record.rate, record.share) == ("tern", 1.0, 1.0)

    with_tenants(tmp_path, scenario)


def test_configuration_with_conflicting_tenants_is_rejected(tmp_path, caplog):
    caplog.set_level("ERROR")

    async def scenario(system):
        version = system.proxy._proxy.configuration.version
        await reconfigure(system, {"tern": (["key-a"], 1, 1), "heron": (["key-a"], 1, 1)})
        assert system.proxy._proxy.configuration.version == version
        (record,) = [item for item in caplog.records if item.message == "object_not_as_described"]
        assert "also held by tenant tern" in str(record.reason)
        assert "key-a" not in str(record.reason)

    with_tenants(tmp_path, scenario)


def test_more_tenants_than_connections_are_all_served(tmp_path):
    """40 tenants are all served although an instance accepts only 34 connections."""
    many = {f"tenant-{number}": ([f"key-{number}"], 1000, 1000) for number in range(40)}

    async def scenario(system):
        clients = [
            await LineClient.open(system.front_port, "latest", f"key-{number}")
            for number in range(40)
        ]
        for turn in range(2):
            answers = await asyncio.gather(
                *(client.ask("READ t0", f"r{turn}-{i}") for i, client in enumerate(clients))
            )
            assert all(lines[-2].startswith("COMPLETE") for lines in answers)
            tenants = [system.ran_for(f"r{turn}-{number}") for number in range(40)]
            assert tenants == [f"tenant-{number}" for number in range(40)]
        pools = system.proxy._proxy.groups[SERVICE].connections.pools
        assert max(pool.size for pool in pools) <= 34

    with_system(tmp_path, scenario, tenants=many)
