"""The tenant of an API key, the maximum age of a configuration, and invalid tenants."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.tenants import (
    KeyChecker,
    Tenant,
    TenantTable,
    key_digest,
    tenant_errors,
)

TERN = Tenant("tern", (key_digest("key-a"), key_digest("key-b")), 10.0, 5.0)
HERON = Tenant("heron", (key_digest("key-c"),), 10.0, 5.0)
TABLE = TenantTable((TERN, HERON))


def refusal(checker, digest, age):
    with pytest.raises(RequestError) as raised:
        checker.tenant_of(TABLE, digest, age)
    return raised.value.kind


def test_each_key_of_a_tenant_is_its_own():
    checker = KeyChecker.within(None)
    assert checker.tenant_of(TABLE, key_digest("key-a"), 0.0) is TERN
    assert checker.tenant_of(TABLE, key_digest("key-b"), 99.0) is TERN
    assert checker.tenant_of(TABLE, key_digest("key-c"), 0.0) is HERON
    assert refusal(checker, key_digest("key-d"), 0.0) is ErrorKind.AUTHENTICATION_FAILED


def test_a_configuration_judges_keys_for_a_little_less_than_is_allowed():
    checker = KeyChecker.within(5.0)
    assert checker.tenant_of(TABLE, key_digest("key-a"), 4.89) is TERN
    assert refusal(checker, key_digest("key-a"), 4.91) is ErrorKind.CONFIGURATION_TOO_OLD
    assert refusal(checker, key_digest("key-d"), 4.91) is ErrorKind.CONFIGURATION_TOO_OLD
    assert refusal(checker, key_digest("key-a"), float("inf")) is ErrorKind.CONFIGURATION_TOO_OLD


@given(st.text(min_size=1), st.text(min_size=1))
def test_a_digest_stands_for_one_key_and_does_not_contain_it(key, other):
    assert (key_digest(key) == key_digest(other)) is (key == other)
    assert len(key) < 4 or key.encode("utf-8", "surrogatepass") not in key_digest(key)


@pytest.mark.parametrize(
    ("tenants", "fault"),
    [
        ((TERN, Tenant("tern", (), 1.0, 1.0)), "tenant tern: duplicate name"),
        ((TERN, Tenant("gull", (key_digest("key-b"),), 1.0, 1.0)), "also held by tenant tern"),
        ((Tenant("gull", (), 0.0, 1.0),), "rate is not above 0"),
        ((Tenant("gull", (), 1.0, 0.0),), "burst is below 1"),
    ],
)
def test_tenants_that_contradict_are_told_with_their_names(tenants, fault):
    (line,) = tenant_errors(tenants)
    assert fault in line


def test_good_tenants_have_no_faults():
    assert list(tenant_errors((TERN, HERON))) == []


def test_a_tenant_is_large_with_a_fortieth_of_all_quotas():
    small = [Tenant(f"small-{number}", (), 1.0, 1.0) for number in range(78)]
    table = TenantTable((*small, Tenant("large", (), 2.0, 2.0)))
    assert table.large == {"large"}
