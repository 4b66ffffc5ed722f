//! Bounds of what is kept of the layouts.

/// Bounds; each is a typed error when it is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Versions kept: ten changes a day for a year.
    pub versions: usize,
    /// Tiles of a version, those that are gone and still kept among them: ten times the largest planned ground.
    pub tiles: usize,
    /// Steps of one change: the entry stays under 1 MiB, a frame between members.
    pub edits: usize,
    /// Servers of a tile.
    pub servers: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { versions: 4096, tiles: 1 << 20, edits: 16_384, servers: 1024 }
    }
}
