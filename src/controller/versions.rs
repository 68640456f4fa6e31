//! Versions of this program that controllers report to each other, and the features that depend on them.

/// The first version that keeps copies of the progress of lent jobs. Without them a leader of a version
/// without loans would lose this progress.
const FIRST_VERSION_WITH_COPIES: ReleaseVersion = ReleaseVersion { major: 0, minor: 3, patch: 1 };

/// The first version that reads records in the held form ([`crate::records::LentForm::Held`]).
const FIRST_VERSION_WITH_HELD_RECORDS: ReleaseVersion = ReleaseVersion { major: 0, minor: 3, patch: 3 };

/// A release of this program. Releases with the same three numbers use the same messages and records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReleaseVersion {
    // The derived ordering compares the fields in this order.
    major: u32,
    minor: u32,
    patch: u32,
}

impl ReleaseVersion {
    /// Parses the version at the beginning of a text such as `0.3.0`; none if the text has another form.
    fn parse(text: &str) -> Option<ReleaseVersion> {
        let mut numbers = text.split('.').map(str::parse);
        let major = numbers.next()?.ok()?;
        let minor = numbers.next()?.ok()?;
        let patch = numbers.next()?.ok()?;
        Some(ReleaseVersion { major, minor, patch })
    }
}

/// Whether a controller that reports this version keeps copies of the progress of lent jobs.
pub(super) fn keeps_progress_copies(version: &str) -> bool {
    is_at_least(version, FIRST_VERSION_WITH_COPIES)
}

/// Whether a controller that reports this version reads records in the held form.
pub(super) fn reads_held_records(version: &str) -> bool {
    is_at_least(version, FIRST_VERSION_WITH_HELD_RECORDS)
}

/// Whether a reported version is `first` or later; false if it cannot be parsed.
fn is_at_least(version: &str, first: ReleaseVersion) -> bool {
    ReleaseVersion::parse(version).is_some_and(|version| version >= first)
}
