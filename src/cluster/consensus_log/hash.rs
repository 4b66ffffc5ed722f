//! Hash functions used in stored and transmitted data. Changing one changes voter ids, cluster ids and
//! checksums.
use std::hash::Hasher;

/// The SplitMix64 finalizer, which spreads hash values that FNV leaves close together.
pub(in crate::cluster) fn splitmix64(x: u64) -> u64 {
    let z = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the FNV-1a hash of `bytes`.
pub(in crate::cluster) fn fnv1a(bytes: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
