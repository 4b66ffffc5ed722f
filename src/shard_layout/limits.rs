//! Bounds of what a member retains of the layouts.

/// How much is retained at most. Each bound that is reached is a typed error, never a silent loss.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayoutLimits {
    /// Versions: the default is ten changes a day for a year.
    pub versions: usize,
    /// Tiles of one version, retired ones with retained history included: the default is ten times the largest planned
    /// layout.
    pub tiles: usize,
    /// Edits of one change: by default its entry stays under 1 MiB, a frame between members.
    pub edits: usize,
    /// Servers of one tile.
    pub servers: usize,
}

impl LayoutLimits {
    /// Retention spans of one tile: a later horizon removes old ones.
    pub(super) fn retentions(&self) -> usize {
        self.servers * 4
    }
}

impl Default for LayoutLimits {
    fn default() -> LayoutLimits {
        LayoutLimits { versions: 4096, tiles: 1 << 20, edits: 16_384, servers: 1024 }
    }
}
