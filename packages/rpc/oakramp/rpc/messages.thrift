// What oakramp's processes say to each other. Fields are only ever added, never renumbered.

struct Hello {
  1: i32 wire_version
  2: string cluster_id     // empty: not a member yet, asks to be told
  3: string node_id
  4: string kind          // control, store, gate, tool
}

struct Frame {
  1: i64 call_id
  2: string method        // set in a call
  3: i32 time_left_ms       // set in a call: after this nobody waits for the answer
  4: binary body          // arguments or result
  5: string error         // set in an answer that failed: code of the error
  6: string reason
  7: string verdict
  8: string detail        // JSON
}

// --- news: any node, any source -------------------------------------------------

struct SourceVersion { 1: string source  2: i64 version }
struct Item { 1: string name  2: i64 version  3: binary value }   // no value: removed
struct SourceState {
  1: string source
  2: i64 version
  3: bool whole           // the items are all there are, not a delta
  4: list<Item> items
  5: i32 age_ms            // since the source last confirmed this version
}
struct Age { 1: i32 place  2: i32 age_ms }    // of the source at this place of the puller's list, if it has not moved
struct LeaseRenewal {            // of the slots that a puller owns, to a voter: what `confirm` asks, on its way with a pull
  1: string voter         // the node that is asked, and no other at its address
  2: i64 voting_config_version
  3: list<i32> shards
  4: list<i64> epochs     // in the same order
}
struct GossipUpdate {
  1: list<SourceState> snapshots
  2: string cluster_id
  3: list<Age> ages       // to a pull without a basis
  4: i64 basis            // the vector kept here since this pull: later ones need name only what moved in it
  5: binary ages_packed    // two bytes of ms, the lower first, for each place of that vector; 0xffff: none is given
  6: bool again           // no such basis is kept here; the whole vector is wanted
  7: list<i32> confirmed  // to a pull with terms: the slots whose terms are confirmed; left out if this is for `confirm` to judge
}

// --- control: the disks' side ---------------------------------------------------

struct Entry { 1: string key  2: binary value }                   // no value: removed
struct PrepareResponse {
  1: bool granted
  2: i64 promised_epoch
  3: string promised_owner
  4: i64 snapshot_epoch
  5: i64 sequence
  6: list<Entry> entries
  7: i64 ended_epoch       // the owner of this epoch said that its term is over
  8: i64 unconfirmed_ms    // for how long at least this voter has confirmed no earlier epoch
  9: bool holds_no_lease        // this node holds no term of the slot, nor will under an earlier epoch; its roster has long stood
}
struct SnapshotChunk { 1: list<Entry> entries  2: bool more }
struct ShardEpoch { 1: i32 shard  2: i64 epoch }
struct AppendResponse {
  1: bool taken
  2: bool needs_snapshot
  3: i64 promised_epoch
  4: bool again           // not judged here; it is to be given again by itself
}
struct AppendEntries {             // what an accept without an image brings
  1: i32 shard
  2: i64 epoch
  3: i64 sequence
  4: list<Entry> entries
  5: i64 from_epoch
  6: i64 from_sequence
}

// --- lines -----------------------------------------------------------------------

struct ClockEntry { 1: string node_id  2: i64 ceiling  3: i64 dot }       // dot 0: none
struct Version { 1: list<ClockEntry> clock  2: binary value }
struct LineState {
  1: list<Version> versions
  2: bool covers          // this store may speak about what is missing
  3: i64 store_epoch
  4: i32 age_ms            // since the line last changed
  5: bool full            // this store has no room for longer lines
}
struct LineDigest { 1: string key  2: string digest }
struct DigestPage { 1: list<LineDigest> digests  2: i64 store_epoch }

// A turn's record travels packed (oakramp/store/records.py): its bodies are bytes that no store looks into.
struct TurnState {
  1: bool known           // the turn is on a line here, or its record is here
  2: bool whole           // its record and those of all its ancestors are here
  3: string line_key
  4: LineState line       // covers, store_epoch and the line's versions
  5: list<binary> records // asked with bodies: the newest first, up to the oldest that is here and fits
}
struct TurnAge { 1: string turn_id  2: i32 left_ms }                 // how much longer it is kept; 0: kept no longer
struct LineTurns { 1: string key  2: LineState line  3: list<TurnAge> turns }
struct LinePage { 1: list<LineTurns> lines  2: i64 store_epoch }
struct LineSums { 1: i64 store_epoch  2: list<i64> sums }              // of the digests of each bucket's lines
struct RecordPage { 1: list<binary> records  2: list<i32> left_ms  3: i64 store_epoch }

service Node {
  GossipUpdate pull(1: list<SourceVersion> seen, 2: SourceState me, 3: i64 basis, 4: bool whole, 5: LeaseRenewal leases)
      // me: the puller's own row, so that it is known by whom it asks; left out if it has not moved since it was sent
      // basis: number of the puller's vector; seen is the whole of it, or only what moved in it
  string ownerCall(1: string key, 2: string command, 3: string arguments_json, 4: bool onward)
      // onward: to be passed on to the owner, which does not answer the asker
  PrepareResponse prepare(1: i32 shard, 2: i64 epoch, 3: string owner, 4: i64 voting_config_version, 5: bool parts)  // parts: the asker fetches the entries
  SnapshotChunk imagePart(1: i32 shard, 2: i64 epoch, 3: string owner, 4: i64 voting_config_version, 5: string after)
  AppendResponse stage(1: i32 shard, 2: i64 epoch, 3: string owner, 4: i64 voting_config_version, 5: i64 sequence, 6: i32 part, 7: list<Entry> entries)
  AppendResponse accept(1: i32 shard, 2: i64 epoch, 3: string owner, 4: i64 voting_config_version, 5: i64 sequence, 6: bool whole, 7: list<Entry> entries,
               8: i32 parts, 9: i64 from_epoch, 10: i64 from_sequence)  // parts: staged before; from: the image that the entries change
  list<AppendResponse> acceptMany(1: list<binary> steps, 2: string owner, 3: i64 voting_config_version)  // packed Steps of different slots
  list<ShardEpoch> confirm(1: list<ShardEpoch> leases, 2: string owner, 3: i64 voting_config_version)
  list<i32> unconfirmed(1: list<i32> shards, 2: string owner, 3: i64 voting_config_version)
      // ms for which this voter has confirmed no lease of each slot and has promised it to no other than the asker
  i64 release(1: i32 shard)
  i64 rosterVersion()     // under which this voter answers now
  bool shardOffer(1: i32 shard)   // whether this node reaches the platform, and takes the slot over from the asker, who does not
  string platformList()   // JSON: the platform's rows as this node reads them; or the error platformAway
  LineState lineGet(1: string key)
  string linePut(1: string key, 2: string context, 3: binary value, 4: i64 store_epoch)
  bool lineKeep(1: string key, 2: LineState state, 3: string sender)
  string storeStatus(1: string record)    // record: the newest of the set. JSON: epoch, covers, lines, ids that number a version kept here
  DigestPage lineDigests(1: string after, 2: i32 most)
  TurnState turnRecall(1: string turn_id, 2: bool bodies)
  string turnRetain(1: string key, 2: string context, 3: binary value, 4: i64 store_epoch, 5: binary record)
  bool turnKeep(1: string key, 2: LineState state, 3: string sender, 4: list<binary> records, 5: list<i32> left_ms)
  bool turnOffer(1: string key, 2: LineState state, 3: string sender, 4: list<string> turn_ids)
  LineSums lineSums()
  DigestPage lineBuckets(1: list<i32> buckets, 2: string after, 3: i32 most)  // after: a key of the first of them
  LinePage lineTurns(1: list<string> keys)          // what differs: versions, and which turns' records are here
  list<i32> turnAges(1: list<string> turn_ids)       // ms for which each is kept; 0: its time was over; -1: not known
  list<string> turnChains(1: list<string> turn_ids)  // these and all their ancestors whose records are here
  RecordPage turnRecords(1: list<string> turn_ids)   // as many as fit a page, in the order asked
}
