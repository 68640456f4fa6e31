//! Versions of this program, as controllers report them to each other.

/// The first version whose loans lose nothing to a leader without loans: it keeps copies of lent jobs' progress.
const FIRST_VERSION_WITH_COPIES: ReleaseVersion = ReleaseVersion { major: 0, minor: 3, patch: 1 };

/// The first version that reads records in the held form ([`crate::records::LentForm::Held`]).
const FIRST_VERSION_WITH_HELD_RECORDS: ReleaseVersion = ReleaseVersion { major: 0, minor: 3, patch: 3 };

/// A release of this program; releases with the same numbers here know the same messages and records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReleaseVersion {
    // Compared first.
    major: u32,
    minor: u32,
    patch: u32,
}

impl ReleaseVersion {
    /// The version that a text such as `0.3.0` begins with; none if it is of another form.
    fn parse(text: &str) -> Option<ReleaseVersion> {
        let mut numbers = text.split('.').map(str::parse);
        let major = numbers.next()?.ok()?;
        let minor = numbers.next()?.ok()?;
        let patch = numbers.next()?.ok()?;
        Some(ReleaseVersion { major, minor, patch })
    }
}

/// Whether a controller of a version, as it reports it, keeps copies of lent jobs' progress.
pub(super) fn keeps_progress_copies(version: &str) -> bool {
    is_at_least(version, FIRST_VERSION_WITH_COPIES)
}

/// Whether a controller of a version, as it reports it, reads records in the held form.
pub(super) fn reads_held_records(version: &str) -> bool {
    is_at_least(version, FIRST_VERSION_WITH_HELD_RECORDS)
}

fn is_at_least(version: &str, first: ReleaseVersion) -> bool {
    ReleaseVersion::parse(version).is_some_and(|version| version >= first)
}
