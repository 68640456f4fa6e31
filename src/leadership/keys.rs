//! Keys of the single records that leadership rests on, and the version of the records' format.

/// Key of the leader's record, which is attached to the leader's lease.
pub const LEADER_KEY: &str = "leader";
/// Key of the term, whose number is the latest fencing token.
pub const TERM_KEY: &str = "term";
/// Key of the one shard there is; its revision guards every write of the leader.
pub const SHARD_KEY: &str = "part/0";
/// Key that names the oldest format of the records that still reads them. No version has written it
/// so far: a later one will, before it writes anything that this one would misread.
pub const FORMAT_KEY: &str = "format";
/// The format of the records that this version reads and writes.
pub const FORMAT_VERSION: u32 = 1;
/// Key of the machine types, for controllers that start while the cloud cannot be reached.
pub const MACHINE_TYPES_KEY: &str = "catalog";
