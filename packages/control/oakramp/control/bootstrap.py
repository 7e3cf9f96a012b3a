"""How the core forms by itself: once, from the seeds of a first start, with no message.

On a first start the seeds are the same everywhere. So each control node that stands among them can write the same
first voting configuration, of ids and a cluster id made from the seeds' addresses alone, and none has to wait for
another.

    identity   founder's id, and what it is founding     synced before the id is used for anything
    ring       the first voting configuration                          the voter knows whose disks count
    identity   the cluster id                            from here on it takes part

A crash after any of these resumes from what the identity says is being founded, whatever the env says by then.
A disk that was lost is no part of a first start: the machine comes back as somebody else and joins by pull, so
nobody founds twice, and no id made from an address is ever used without the promises made under it.
"""

from hashlib import blake2b

FIRST_VERSION = 1


def _digest(*parts):
    return blake2b("\0".join(parts).encode(), digest_size=16).hexdigest()


def founder_id(address, seeds):
    return f"founder.{_digest('founder', address, *sorted(seeds))}"


def first_cluster_id(seeds):
    return f"cluster.{_digest('cluster', *sorted(seeds))}"


def founding_of(env):
    """What a node with this env and an empty disk founds, as its identity keeps it; None if it is no founder."""
    seeds = env["seeds"]
    if not (env.get("selfForming") and env.get("firstStart")) or env["peer"] not in seeds:
        return None
    return {
        "nodeId": founder_id(env["peer"], seeds),
        "clusterId": first_cluster_id(seeds),
        "roster": {
            "version": FIRST_VERSION,
            "next": None,
            "members": {founder_id(seed, seeds): seed for seed in sorted(seeds)},
        },
    }


async def found(node, voter):
    """Finishes what the identity says is being founded."""
    founding = node.identity.founding
    await voter.set_voting_config(founding["roster"])
    node.identity.join_cluster(founding["clusterId"], founded=True)
    node.net.join_cluster(founding["clusterId"])
    node.log.info("cluster_bootstrapped", cluster_id=founding["clusterId"], members=len(founding["roster"]["members"]))
