"""Structs of messages.thrift as classes. Written by oakramp.rpc.generate_messages; do not edit."""

# ruff: noqa: E501, N801, RUF012

from thriftpy2.thrift import TPayload


class Hello(TPayload):
    """Struct `Hello`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "wire_version", False),
        2: (11, "cluster_id", False),
        3: (11, "node_id", False),
        4: (11, "kind", False),
    }
    default_spec = [("wire_version", None), ("cluster_id", None), ("node_id", None), ("kind", None)]


class Frame(TPayload):
    """Struct `Frame`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (10, "call_id", False),
        2: (11, "method", False),
        3: (8, "time_left_ms", False),
        4: (18, "body", False),
        5: (11, "error", False),
        6: (11, "reason", False),
        7: (11, "verdict", False),
        8: (11, "detail", False),
    }
    default_spec = [
        ("call_id", None),
        ("method", None),
        ("time_left_ms", None),
        ("body", None),
        ("error", None),
        ("reason", None),
        ("verdict", None),
        ("detail", None),
    ]


class SourceVersion(TPayload):
    """Struct `SourceVersion`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "source", False),
        2: (10, "version", False),
    }
    default_spec = [("source", None), ("version", None)]


class Item(TPayload):
    """Struct `Item`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "name", False),
        2: (10, "version", False),
        3: (18, "value", False),
    }
    default_spec = [("name", None), ("version", None), ("value", None)]


class SourceState(TPayload):
    """Struct `SourceState`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "source", False),
        2: (10, "version", False),
        3: (2, "whole", False),
        4: (15, "items", (12, Item), False),
        5: (8, "age_ms", False),
    }
    default_spec = [("source", None), ("version", None), ("whole", None), ("items", None), ("age_ms", None)]


class Age(TPayload):
    """Struct `Age`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "place", False),
        2: (8, "age_ms", False),
    }
    default_spec = [("place", None), ("age_ms", None)]


class LeaseRenewal(TPayload):
    """Struct `LeaseRenewal`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "voter", False),
        2: (10, "voting_config_version", False),
        3: (15, "shards", 8, False),
        4: (15, "epochs", 10, False),
    }
    default_spec = [("voter", None), ("voting_config_version", None), ("shards", None), ("epochs", None)]


class GossipUpdate(TPayload):
    """Struct `GossipUpdate`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "snapshots", (12, SourceState), False),
        2: (11, "cluster_id", False),
        3: (15, "ages", (12, Age), False),
        4: (10, "basis", False),
        5: (18, "ages_packed", False),
        6: (2, "again", False),
        7: (15, "confirmed", 8, False),
    }
    default_spec = [
        ("snapshots", None),
        ("cluster_id", None),
        ("ages", None),
        ("basis", None),
        ("ages_packed", None),
        ("again", None),
        ("confirmed", None),
    ]


class Entry(TPayload):
    """Struct `Entry`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
        2: (18, "value", False),
    }
    default_spec = [("key", None), ("value", None)]


class PrepareResponse(TPayload):
    """Struct `PrepareResponse`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (2, "granted", False),
        2: (10, "promised_epoch", False),
        3: (11, "promised_owner", False),
        4: (10, "snapshot_epoch", False),
        5: (10, "sequence", False),
        6: (15, "entries", (12, Entry), False),
        7: (10, "ended_epoch", False),
        8: (10, "unconfirmed_ms", False),
        9: (2, "holds_no_lease", False),
    }
    default_spec = [
        ("granted", None),
        ("promised_epoch", None),
        ("promised_owner", None),
        ("snapshot_epoch", None),
        ("sequence", None),
        ("entries", None),
        ("ended_epoch", None),
        ("unconfirmed_ms", None),
        ("holds_no_lease", None),
    ]


class SnapshotChunk(TPayload):
    """Struct `SnapshotChunk`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "entries", (12, Entry), False),
        2: (2, "more", False),
    }
    default_spec = [("entries", None), ("more", None)]


class ShardEpoch(TPayload):
    """Struct `ShardEpoch`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "shard", False),
        2: (10, "epoch", False),
    }
    default_spec = [("shard", None), ("epoch", None)]


class AppendResponse(TPayload):
    """Struct `AppendResponse`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (2, "taken", False),
        2: (2, "needs_snapshot", False),
        3: (10, "promised_epoch", False),
        4: (2, "again", False),
    }
    default_spec = [("taken", None), ("needs_snapshot", None), ("promised_epoch", None), ("again", None)]


class AppendEntries(TPayload):
    """Struct `AppendEntries`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "shard", False),
        2: (10, "epoch", False),
        3: (10, "sequence", False),
        4: (15, "entries", (12, Entry), False),
        5: (10, "from_epoch", False),
        6: (10, "from_sequence", False),
    }
    default_spec = [
        ("shard", None),
        ("epoch", None),
        ("sequence", None),
        ("entries", None),
        ("from_epoch", None),
        ("from_sequence", None),
    ]


class ClockEntry(TPayload):
    """Struct `ClockEntry`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "node_id", False),
        2: (10, "ceiling", False),
        3: (10, "dot", False),
    }
    default_spec = [("node_id", None), ("ceiling", None), ("dot", None)]


class Version(TPayload):
    """Struct `Version`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "clock", (12, ClockEntry), False),
        2: (18, "value", False),
    }
    default_spec = [("clock", None), ("value", None)]


class LineState(TPayload):
    """Struct `LineState`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "versions", (12, Version), False),
        2: (2, "covers", False),
        3: (10, "store_epoch", False),
        4: (8, "age_ms", False),
        5: (2, "full", False),
    }
    default_spec = [("versions", None), ("covers", None), ("store_epoch", None), ("age_ms", None), ("full", None)]


class LineDigest(TPayload):
    """Struct `LineDigest`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
        2: (11, "digest", False),
    }
    default_spec = [("key", None), ("digest", None)]


class DigestPage(TPayload):
    """Struct `DigestPage`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "digests", (12, LineDigest), False),
        2: (10, "store_epoch", False),
    }
    default_spec = [("digests", None), ("store_epoch", None)]


class TurnState(TPayload):
    """Struct `TurnState`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (2, "known", False),
        2: (2, "whole", False),
        3: (11, "line_key", False),
        4: (12, "line", LineState, False),
        5: (15, "records", 18, False),
    }
    default_spec = [("known", None), ("whole", None), ("line_key", None), ("line", None), ("records", None)]


class TurnAge(TPayload):
    """Struct `TurnAge`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "turn_id", False),
        2: (8, "left_ms", False),
    }
    default_spec = [("turn_id", None), ("left_ms", None)]


class LineTurns(TPayload):
    """Struct `LineTurns`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
        2: (12, "line", LineState, False),
        3: (15, "turns", (12, TurnAge), False),
    }
    default_spec = [("key", None), ("line", None), ("turns", None)]


class LinePage(TPayload):
    """Struct `LinePage`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "lines", (12, LineTurns), False),
        2: (10, "store_epoch", False),
    }
    default_spec = [("lines", None), ("store_epoch", None)]


class LineSums(TPayload):
    """Struct `LineSums`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (10, "store_epoch", False),
        2: (15, "sums", 10, False),
    }
    default_spec = [("store_epoch", None), ("sums", None)]


class RecordPage(TPayload):
    """Struct `RecordPage`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "records", 18, False),
        2: (15, "left_ms", 8, False),
        3: (10, "store_epoch", False),
    }
    default_spec = [("records", None), ("left_ms", None), ("store_epoch", None)]


class accept_args(TPayload):
    """Struct `accept_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "shard", False),
        2: (10, "epoch", False),
        3: (11, "owner", False),
        4: (10, "voting_config_version", False),
        5: (10, "sequence", False),
        6: (2, "whole", False),
        7: (15, "entries", (12, Entry), False),
        8: (8, "parts", False),
        9: (10, "from_epoch", False),
        10: (10, "from_sequence", False),
    }
    default_spec = [
        ("shard", None),
        ("epoch", None),
        ("owner", None),
        ("voting_config_version", None),
        ("sequence", None),
        ("whole", None),
        ("entries", None),
        ("parts", None),
        ("from_epoch", None),
        ("from_sequence", None),
    ]


class acceptMany_args(TPayload):
    """Struct `acceptMany_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "steps", 18, False),
        2: (11, "owner", False),
        3: (10, "voting_config_version", False),
    }
    default_spec = [("steps", None), ("owner", None), ("voting_config_version", None)]


class confirm_args(TPayload):
    """Struct `confirm_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "leases", (12, ShardEpoch), False),
        2: (11, "owner", False),
        3: (10, "voting_config_version", False),
    }
    default_spec = [("leases", None), ("owner", None), ("voting_config_version", None)]


class imagePart_args(TPayload):
    """Struct `imagePart_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "shard", False),
        2: (10, "epoch", False),
        3: (11, "owner", False),
        4: (10, "voting_config_version", False),
        5: (11, "after", False),
    }
    default_spec = [("shard", None), ("epoch", None), ("owner", None), ("voting_config_version", None), ("after", None)]


class lineBuckets_args(TPayload):
    """Struct `lineBuckets_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "buckets", 8, False),
        2: (11, "after", False),
        3: (8, "most", False),
    }
    default_spec = [("buckets", None), ("after", None), ("most", None)]


class lineDigests_args(TPayload):
    """Struct `lineDigests_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "after", False),
        2: (8, "most", False),
    }
    default_spec = [("after", None), ("most", None)]


class lineGet_args(TPayload):
    """Struct `lineGet_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
    }
    default_spec = [("key", None)]


class lineKeep_args(TPayload):
    """Struct `lineKeep_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
        2: (12, "state", LineState, False),
        3: (11, "sender", False),
    }
    default_spec = [("key", None), ("state", None), ("sender", None)]


class linePut_args(TPayload):
    """Struct `linePut_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
        2: (11, "context", False),
        3: (18, "value", False),
        4: (10, "store_epoch", False),
    }
    default_spec = [("key", None), ("context", None), ("value", None), ("store_epoch", None)]


class lineSums_args(TPayload):
    """Struct `lineSums_args`; messages.thrift says what is in it."""

    thrift_spec = {}
    default_spec = []


class lineTurns_args(TPayload):
    """Struct `lineTurns_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "keys", 11, False),
    }
    default_spec = [("keys", None)]


class ownerCall_args(TPayload):
    """Struct `ownerCall_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
        2: (11, "command", False),
        3: (11, "arguments_json", False),
        4: (2, "onward", False),
    }
    default_spec = [("key", None), ("command", None), ("arguments_json", None), ("onward", None)]


class platformList_args(TPayload):
    """Struct `platformList_args`; messages.thrift says what is in it."""

    thrift_spec = {}
    default_spec = []


class prepare_args(TPayload):
    """Struct `prepare_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "shard", False),
        2: (10, "epoch", False),
        3: (11, "owner", False),
        4: (10, "voting_config_version", False),
        5: (2, "parts", False),
    }
    default_spec = [("shard", None), ("epoch", None), ("owner", None), ("voting_config_version", None), ("parts", None)]


class pull_args(TPayload):
    """Struct `pull_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "seen", (12, SourceVersion), False),
        2: (12, "me", SourceState, False),
        3: (10, "basis", False),
        4: (2, "whole", False),
        5: (12, "leases", LeaseRenewal, False),
    }
    default_spec = [("seen", None), ("me", None), ("basis", None), ("whole", None), ("leases", None)]


class release_args(TPayload):
    """Struct `release_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "shard", False),
    }
    default_spec = [("shard", None)]


class rosterVersion_args(TPayload):
    """Struct `rosterVersion_args`; messages.thrift says what is in it."""

    thrift_spec = {}
    default_spec = []


class shardOffer_args(TPayload):
    """Struct `shardOffer_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "shard", False),
    }
    default_spec = [("shard", None)]


class stage_args(TPayload):
    """Struct `stage_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (8, "shard", False),
        2: (10, "epoch", False),
        3: (11, "owner", False),
        4: (10, "voting_config_version", False),
        5: (10, "sequence", False),
        6: (8, "part", False),
        7: (15, "entries", (12, Entry), False),
    }
    default_spec = [
        ("shard", None),
        ("epoch", None),
        ("owner", None),
        ("voting_config_version", None),
        ("sequence", None),
        ("part", None),
        ("entries", None),
    ]


class storeStatus_args(TPayload):
    """Struct `storeStatus_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "record", False),
    }
    default_spec = [("record", None)]


class turnAges_args(TPayload):
    """Struct `turnAges_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "turn_ids", 11, False),
    }
    default_spec = [("turn_ids", None)]


class turnChains_args(TPayload):
    """Struct `turnChains_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "turn_ids", 11, False),
    }
    default_spec = [("turn_ids", None)]


class turnKeep_args(TPayload):
    """Struct `turnKeep_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
        2: (12, "state", LineState, False),
        3: (11, "sender", False),
        4: (15, "records", 18, False),
        5: (15, "left_ms", 8, False),
    }
    default_spec = [("key", None), ("state", None), ("sender", None), ("records", None), ("left_ms", None)]


class turnOffer_args(TPayload):
    """Struct `turnOffer_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
        2: (12, "state", LineState, False),
        3: (11, "sender", False),
        4: (15, "turn_ids", 11, False),
    }
    default_spec = [("key", None), ("state", None), ("sender", None), ("turn_ids", None)]


class turnRecall_args(TPayload):
    """Struct `turnRecall_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "turn_id", False),
        2: (2, "bodies", False),
    }
    default_spec = [("turn_id", None), ("bodies", None)]


class turnRecords_args(TPayload):
    """Struct `turnRecords_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "turn_ids", 11, False),
    }
    default_spec = [("turn_ids", None)]


class turnRetain_args(TPayload):
    """Struct `turnRetain_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (11, "key", False),
        2: (11, "context", False),
        3: (18, "value", False),
        4: (10, "store_epoch", False),
        5: (18, "record", False),
    }
    default_spec = [("key", None), ("context", None), ("value", None), ("store_epoch", None), ("record", None)]


class unconfirmed_args(TPayload):
    """Struct `unconfirmed_args`; messages.thrift says what is in it."""

    thrift_spec = {
        1: (15, "shards", 8, False),
        2: (11, "owner", False),
        3: (10, "voting_config_version", False),
    }
    default_spec = [("shards", None), ("owner", None), ("voting_config_version", None)]


class accept_result(TPayload):
    """Struct `accept_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", AppendResponse, False),
    }
    default_spec = [("success", None)]


class acceptMany_result(TPayload):
    """Struct `acceptMany_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (15, "success", (12, AppendResponse), False),
    }
    default_spec = [("success", None)]


class confirm_result(TPayload):
    """Struct `confirm_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (15, "success", (12, ShardEpoch), False),
    }
    default_spec = [("success", None)]


class imagePart_result(TPayload):
    """Struct `imagePart_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", SnapshotChunk, False),
    }
    default_spec = [("success", None)]


class lineBuckets_result(TPayload):
    """Struct `lineBuckets_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", DigestPage, False),
    }
    default_spec = [("success", None)]


class lineDigests_result(TPayload):
    """Struct `lineDigests_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", DigestPage, False),
    }
    default_spec = [("success", None)]


class lineGet_result(TPayload):
    """Struct `lineGet_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", LineState, False),
    }
    default_spec = [("success", None)]


class lineKeep_result(TPayload):
    """Struct `lineKeep_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (2, "success", False),
    }
    default_spec = [("success", None)]


class linePut_result(TPayload):
    """Struct `linePut_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (11, "success", False),
    }
    default_spec = [("success", None)]


class lineSums_result(TPayload):
    """Struct `lineSums_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", LineSums, False),
    }
    default_spec = [("success", None)]


class lineTurns_result(TPayload):
    """Struct `lineTurns_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", LinePage, False),
    }
    default_spec = [("success", None)]


class ownerCall_result(TPayload):
    """Struct `ownerCall_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (11, "success", False),
    }
    default_spec = [("success", None)]


class platformList_result(TPayload):
    """Struct `platformList_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (11, "success", False),
    }
    default_spec = [("success", None)]


class prepare_result(TPayload):
    """Struct `prepare_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", PrepareResponse, False),
    }
    default_spec = [("success", None)]


class pull_result(TPayload):
    """Struct `pull_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", GossipUpdate, False),
    }
    default_spec = [("success", None)]


class release_result(TPayload):
    """Struct `release_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (10, "success", False),
    }
    default_spec = [("success", None)]


class rosterVersion_result(TPayload):
    """Struct `rosterVersion_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (10, "success", False),
    }
    default_spec = [("success", None)]


class shardOffer_result(TPayload):
    """Struct `shardOffer_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (2, "success", False),
    }
    default_spec = [("success", None)]


class stage_result(TPayload):
    """Struct `stage_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", AppendResponse, False),
    }
    default_spec = [("success", None)]


class storeStatus_result(TPayload):
    """Struct `storeStatus_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (11, "success", False),
    }
    default_spec = [("success", None)]


class turnAges_result(TPayload):
    """Struct `turnAges_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (15, "success", 8, False),
    }
    default_spec = [("success", None)]


class turnChains_result(TPayload):
    """Struct `turnChains_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (15, "success", 11, False),
    }
    default_spec = [("success", None)]


class turnKeep_result(TPayload):
    """Struct `turnKeep_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (2, "success", False),
    }
    default_spec = [("success", None)]


class turnOffer_result(TPayload):
    """Struct `turnOffer_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (2, "success", False),
    }
    default_spec = [("success", None)]


class turnRecall_result(TPayload):
    """Struct `turnRecall_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", TurnState, False),
    }
    default_spec = [("success", None)]


class turnRecords_result(TPayload):
    """Struct `turnRecords_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (12, "success", RecordPage, False),
    }
    default_spec = [("success", None)]


class turnRetain_result(TPayload):
    """Struct `turnRetain_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (11, "success", False),
    }
    default_spec = [("success", None)]


class unconfirmed_result(TPayload):
    """Struct `unconfirmed_result`; messages.thrift says what is in it."""

    thrift_spec = {
        0: (15, "success", 8, False),
    }
    default_spec = [("success", None)]


ARGUMENTS = {
    "accept": accept_args,
    "acceptMany": acceptMany_args,
    "confirm": confirm_args,
    "imagePart": imagePart_args,
    "lineBuckets": lineBuckets_args,
    "lineDigests": lineDigests_args,
    "lineGet": lineGet_args,
    "lineKeep": lineKeep_args,
    "linePut": linePut_args,
    "lineSums": lineSums_args,
    "lineTurns": lineTurns_args,
    "ownerCall": ownerCall_args,
    "platformList": platformList_args,
    "prepare": prepare_args,
    "pull": pull_args,
    "release": release_args,
    "rosterVersion": rosterVersion_args,
    "shardOffer": shardOffer_args,
    "stage": stage_args,
    "storeStatus": storeStatus_args,
    "turnAges": turnAges_args,
    "turnChains": turnChains_args,
    "turnKeep": turnKeep_args,
    "turnOffer": turnOffer_args,
    "turnRecall": turnRecall_args,
    "turnRecords": turnRecords_args,
    "turnRetain": turnRetain_args,
    "unconfirmed": unconfirmed_args,
}


RESULTS = {
    "accept": accept_result,
    "acceptMany": acceptMany_result,
    "confirm": confirm_result,
    "imagePart": imagePart_result,
    "lineBuckets": lineBuckets_result,
    "lineDigests": lineDigests_result,
    "lineGet": lineGet_result,
    "lineKeep": lineKeep_result,
    "linePut": linePut_result,
    "lineSums": lineSums_result,
    "lineTurns": lineTurns_result,
    "ownerCall": ownerCall_result,
    "platformList": platformList_result,
    "prepare": prepare_result,
    "pull": pull_result,
    "release": release_result,
    "rosterVersion": rosterVersion_result,
    "shardOffer": shardOffer_result,
    "stage": stage_result,
    "storeStatus": storeStatus_result,
    "turnAges": turnAges_result,
    "turnChains": turnChains_result,
    "turnKeep": turnKeep_result,
    "turnOffer": turnOffer_result,
    "turnRecall": turnRecall_result,
    "turnRecords": turnRecords_result,
    "turnRetain": turnRetain_result,
    "unconfirmed": unconfirmed_result,
}
