//! Keys of the records that exist once per installation and are used for election and startup, and the
//! version of the record format.

/// Key of the leader's record, which is attached to the leader's lease.
pub const LEADER_KEY: &str = "leader";
/// Key of the term record, whose number is the latest fencing token.
pub const TERM_KEY: &str = "term";
/// Key of the only shard; its revision guards every write of the leader.
pub const SHARD_KEY: &str = "part/0";
/// Key of the format record, which names the oldest format version that a program must support to read
/// the records. No version has written it so far. A later version will do so before it writes anything
/// that this version would misread.
pub const FORMAT_KEY: &str = "format";
/// The version of the record format that this program reads and writes.
pub const FORMAT_VERSION: u32 = 1;
/// Key of the list of machine types, for controllers that start while the cloud cannot be reached.
pub const MACHINE_TYPES_KEY: &str = "catalog";
