//! The messages of each interface, one module each. The names that travel are odd and stay in this
//! folder, as serde renames; the code has the field's own names.

mod cloud;
mod jobs;
mod replies;
mod state;
mod workers;

pub use cloud::*;
pub use jobs::*;
pub use replies::*;
pub use state::*;
pub use workers::*;

use serde::Deserialize;

/// Reads null as the default, as if the field were left out.
fn null_is_default<'de, D, T>(d: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(Option::<T>::deserialize(d)?.unwrap_or_default())
}
