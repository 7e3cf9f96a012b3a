// Messages between the nodes of oakramp. Fields are only ever added, never renumbered.

struct Hello {
  1: i32 wire_version
  2: string cluster_id     // empty: not a member yet; the reply to its pull names the cluster
  3: string node_id
  4: string kind          // control, store, gate, tool
}

struct Frame {
  1: i64 call_id
  2: string method        // set in a call
  3: i32 time_left_ms       // set in a call: after this time nobody waits for the reply
  4: binary body          // arguments or result
  5: string error         // set in a reply to a call that failed: the code of the error
  6: string reason
  7: string verdict
  8: string detail        // JSON
}

// --- gossip: any node, any source ------------------------------------------------

struct SourceVersion { 1: string source  2: i64 version }
struct Item { 1: string name  2: i64 version  3: binary value }   // no value: removed
struct SourceState {
  1: string source
  2: i64 version
  3: bool whole           // a full snapshot, not a delta
  4: list<Item> items
  5: i32 age_ms            // since the source last confirmed this version
}
struct Age { 1: i32 place  2: i32 age_ms }    // of the source at this position of the puller's list, if it has not changed
struct LeaseRenewal {            // from a shard leader to a voter: the request of `confirm`, sent with a pull
  1: string voter         // the node that is asked; any other node at its address ignores it
  2: i64 voting_config_version
  3: list<i32> shards
  4: list<i64> epochs     // in the order of `shards`
}
struct GossipUpdate {
  1: list<SourceState> snapshots
  2: string cluster_id
  3: list<Age> ages       // to a pull without a basis
  4: i64 basis            // number of the vector that is stored here: later pulls send only its changes
  5: binary ages_packed    // two bytes of ms, little-endian, for each position of that vector; 0xffff: not known
  6: bool again           // no vector is stored here under that basis; the puller is to send the whole vector
  7: list<i32> confirmed  // to a pull with `leases`: the shards whose leases are confirmed; left out if `confirm` has to decide
}

// --- control: replication to the voters' disks ----------------------------------

struct Entry { 1: string key  2: binary value }                   // no value: removed
struct PrepareResponse {
  1: bool granted
  2: i64 promised_epoch
  3: string promised_owner
  4: i64 snapshot_epoch
  5: i64 sequence
  6: list<Entry> entries
  7: i64 ended_epoch       // the leader of this epoch has ended its lease
  8: i64 unconfirmed_ms    // this voter has confirmed no earlier epoch for at least so long
  9: bool holds_no_lease        // this node holds no lease of the shard, nor will under an earlier epoch; its voting configuration has long been in force
}
struct SnapshotChunk { 1: list<Entry> entries  2: bool more }
struct ShardEpoch { 1: i32 shard  2: i64 epoch }
struct AppendResponse {
  1: bool taken
  2: bool needs_snapshot
  3: i64 promised_epoch
  4: bool again           // undecided here; the append is to be sent again by itself
}
struct AppendEntries {             // an `accept` that carries no snapshot
  1: i32 shard
  2: i64 epoch
  3: i64 sequence
  4: list<Entry> entries
  5: i64 from_epoch
  6: i64 from_sequence
}

// --- stored records: lines and turns ---------------------------------------------

struct ClockEntry { 1: string node_id  2: i64 ceiling  3: i64 dot }       // dot 0: none
struct Version { 1: list<ClockEntry> clock  2: binary value }
struct LineState {
  1: list<Version> versions
  2: bool covers          // this store may report that a record does not exist
  3: i64 store_epoch
  4: i32 age_ms            // since the line last changed
  5: bool full            // this store has no room for lines to grow
}
struct LineDigest { 1: string key  2: string digest }
struct DigestPage { 1: list<LineDigest> digests  2: i64 store_epoch }

// A turn's record is sent packed (oakramp/store/records.py): its bodies are bytes that no store interprets.
struct TurnState {
  1: bool known           // the turn is on a line here, or its record is here
  2: bool whole           // its record and those of all its ancestors are here
  3: string line_key
  4: LineState line       // covers, store_epoch and the line's versions
  5: list<binary> records // if bodies were requested: newest first, down to the oldest that is here and fits
}
struct TurnAge { 1: string turn_id  2: i32 left_ms }                 // remaining retention; 0: expired
struct LineTurns { 1: string key  2: LineState line  3: list<TurnAge> turns }
struct LinePage { 1: list<LineTurns> lines  2: i64 store_epoch }
struct LineSums { 1: i64 store_epoch  2: list<i64> sums }              // sum of the digests of each bucket's lines
struct RecordPage { 1: list<binary> records  2: list<i32> left_ms  3: i64 store_epoch }

service Node {
  GossipUpdate pull(1: list<SourceVersion> seen, 2: SourceState me, 3: i64 basis, 4: bool whole, 5: LeaseRenewal leases)
      // me: the puller's own row, so that its pulls make it known; left out if it has not changed since it was sent
      // basis: number of the puller's vector; seen: all of the vector, or only its changes
  string ownerCall(1: string key, 2: string command, 3: string arguments_json, 4: bool onward)
      // onward: the call is to be forwarded to the leader, which does not reply to the sender
  PrepareResponse prepare(1: i32 shard, 2: i64 epoch, 3: string owner, 4: i64 voting_config_version, 5: bool parts)  // parts: the caller fetches the entries with `imagePart`
  SnapshotChunk imagePart(1: i32 shard, 2: i64 epoch, 3: string owner, 4: i64 voting_config_version, 5: string after)
  AppendResponse stage(1: i32 shard, 2: i64 epoch, 3: string owner, 4: i64 voting_config_version, 5: i64 sequence, 6: i32 part, 7: list<Entry> entries)
  AppendResponse accept(1: i32 shard, 2: i64 epoch, 3: string owner, 4: i64 voting_config_version, 5: i64 sequence, 6: bool whole, 7: list<Entry> entries,
               8: i32 parts, 9: i64 from_epoch, 10: i64 from_sequence)  // parts: number of parts staged before; from: the snapshot that the entries change
  list<AppendResponse> acceptMany(1: list<binary> steps, 2: string owner, 3: i64 voting_config_version)  // packed AppendEntries of different shards
  list<ShardEpoch> confirm(1: list<ShardEpoch> leases, 2: string owner, 3: i64 voting_config_version)
  list<i32> unconfirmed(1: list<i32> shards, 2: string owner, 3: i64 voting_config_version)
      // for each shard, the ms for which this voter has confirmed no lease and has promised it to no node but the caller
  i64 release(1: i32 shard)
  i64 rosterVersion()     // the version of the voting configuration that this voter uses now
  bool shardOffer(1: i32 shard)   // whether this node reaches the platform and takes the shard over from the caller, which does not
  string platformList()   // JSON: the platform's rows as this node reads them; or the error platformAway
  LineState lineGet(1: string key)
  string linePut(1: string key, 2: string context, 3: binary value, 4: i64 store_epoch)
  bool lineKeep(1: string key, 2: LineState state, 3: string sender)
  string storeStatus(1: string record)    // record: the newest record of the store set. Result, JSON: epoch, covers, lines, ids used in versions stored here
  DigestPage lineDigests(1: string after, 2: i32 most)
  TurnState turnRecall(1: string turn_id, 2: bool bodies)
  string turnRetain(1: string key, 2: string context, 3: binary value, 4: i64 store_epoch, 5: binary record)
  bool turnKeep(1: string key, 2: LineState state, 3: string sender, 4: list<binary> records, 5: list<i32> left_ms)
  bool turnOffer(1: string key, 2: LineState state, 3: string sender, 4: list<string> turn_ids)
  LineSums lineSums()
  DigestPage lineBuckets(1: list<i32> buckets, 2: string after, 3: i32 most)  // after: a key of the first of them
  LinePage lineTurns(1: list<string> keys)          // of lines that differ: the versions, and the turns whose records are here
  list<i32> turnAges(1: list<string> turn_ids)       // remaining retention in ms; 0: expired; -1: not known
  list<string> turnChains(1: list<string> turn_ids)  // these and all their ancestors whose records are here
  RecordPage turnRecords(1: list<string> turn_ids)   // as many as fit a page, in the order asked
}
